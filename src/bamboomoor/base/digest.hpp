/**
 * SHA-256 digests, by which keys are stored and contents compared.
 */
#pragma once

#include <string>
#include <string_view>

namespace bamboomoor::base
{

/**
 * @brief Digests bytes by SHA-256 (FIPS 180-4).
 * @param bytes Any bytes.
 * @return 64 lower-case hexadecimal digits.
 */
[[nodiscard]] std::string sha256(std::string_view bytes);

} // namespace bamboomoor::base
