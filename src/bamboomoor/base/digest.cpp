/**
 * SHA-256 digests by OpenSSL.
 */
#include "bamboomoor/base/digest.hpp"

#include <openssl/sha.h>

#include <array>

namespace bamboomoor::base
{

std::string sha256(std::string_view bytes)
{
    static constexpr std::string_view DIGITS = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> buf{};
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), buf.data());
    std::string text;
    text.reserve(buf.size() * 2);
    for (const unsigned char it : buf) {
        text += DIGITS[it >> 4U];
        text += DIGITS[it & 15U];
    }
    return text;
}

std::string sha256(std::initializer_list<std::string_view> fields)
{
    std::string bytes;
    for (const std::string_view it : fields) {
        bytes += std::to_string(it.size());
        bytes += ':';
        bytes += it;
    }
    return sha256(bytes);
}

} // namespace bamboomoor::base
