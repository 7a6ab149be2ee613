/**
 * Forward declarations of the operators module.
 */
#pragma once

namespace bamboomoor::operators
{
class Configuration;
class Transport;
class CurlTransport;
class Secrets;
struct HttpReply;
struct TransportError;
struct ApplyRequest;
struct AddKeyRequest;
struct WithdrawKeyRequest;
struct VersionLine;
struct Reply;
struct Invocation;
struct UsageError;
struct Surroundings;
} // namespace bamboomoor::operators
