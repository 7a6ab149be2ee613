/**
 * SHA-256 digests, by which keys are stored and contents compared.
 */
#pragma once

#include <initializer_list>
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

/**
 * @brief Digests a list of fields by SHA-256, so that no two lists share a digest whose texts are joined alike.
 * @param fields Any bytes each.
 * @return 64 lower-case hexadecimal digits.
 */
[[nodiscard]] std::string sha256(std::initializer_list<std::string_view> fields);

} // namespace bamboomoor::base
