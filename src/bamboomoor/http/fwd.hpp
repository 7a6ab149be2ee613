/**
 * Forward declarations of the http module.
 */
#pragma once

namespace bamboomoor::http
{
struct Header;
struct Request;
struct Response;
struct ServerOptions;
struct ServerCounters;
struct Call;
struct Ending;
struct ClientOptions;
struct Fetched;
class Responder;
class Handler;
class Server;
class Listener;
class Client;
class SseParser;
class AnswerMemory;
class RequestMemory;
class MemoryHold;
} // namespace bamboomoor::http
