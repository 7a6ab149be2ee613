/**
 * Forward declarations of the config module.
 */
#pragma once

namespace bamboomoor::config
{
struct Key;
struct Organisation;
struct Route;
struct Model;
struct Adapter;
struct Version;
struct AcceleratorPool;
struct Limits;
struct Document;
struct ConfigError;
struct Change;
} // namespace bamboomoor::config
