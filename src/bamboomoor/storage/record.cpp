/**
 * Records of the log.
 */
#include "bamboomoor/storage/record.hpp"
#include "bamboomoor/base/overloaded.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <vector>

namespace bamboomoor::storage::internal
{

namespace
{

using Json = nlohmann::json;

constexpr unsigned BITS_PER_BYTE = 8;
constexpr std::size_t LENGTH_BYTES = 4;

Json binary(const std::string &text)
{
    return Json::binary({text.begin(), text.end()});
}

std::string text(const Json &json)
{
    const auto &bytes = json.get_binary();
    return {bytes.begin(), bytes.end()};
}

void putNumber(std::string &to, std::uint64_t number, std::size_t bytes)
{
    for (std::size_t n = 0; n < bytes; ++n) {
        to += static_cast<char>(number >> (n * BITS_PER_BYTE));
    }
}

std::uint64_t takeNumber(std::string_view from)
{
    std::uint64_t number = 0;
    for (std::size_t n = 0; n < from.size(); ++n) {
        number |= static_cast<std::uint64_t>(static_cast<unsigned char>(from[n])) << (n * BITS_PER_BYTE);
    }
    return number;
}

Json toJson(const Record &record)
{
    return std::visit(
        base::Overloaded{
            [](const consensus::HardState &it) -> Json { return {0, it.term, it.votedFor, it.joined}; },
            [](const consensus::Entry &it) -> Json {
                return {1, it.index, it.term, static_cast<int>(it.kind), binary(it.payload)};
            },
            [](const consensus::Snapshot &it) -> Json {
                return {2, it.index, it.term, it.voters, it.learners, binary(it.data)};
            },
        },
        record);
}

/** @brief Throws for a body of another form. */
Record fromJson(const Json &json)
{
    switch (json.at(0).get<int>()) {
    case 0:
        return consensus::HardState{json.at(1), json.at(2), json.at(3)};
    case 1:
        return consensus::Entry{json.at(1), json.at(2), static_cast<consensus::EntryKind>(json.at(3).get<int>()),
                                text(json.at(4))};
    default:
        return consensus::Snapshot{json.at(1), json.at(2), json.at(3), json.at(4), text(json.at(5))};
    }
}

} // namespace

std::string encode(const Record &record)
{
    const std::vector<std::uint8_t> body = Json::to_cbor(toJson(record));
    std::string bytes;
    bytes.reserve(HEAD_BYTES + body.size());
    putNumber(bytes, body.size(), LENGTH_BYTES);
    putNumber(bytes, XXH64(body.data(), body.size(), 0), sizeof(std::uint64_t));
    bytes.append(body.begin(), body.end());
    return bytes;
}

std::optional<Found> decode(std::string_view bytes)
{
    if (bytes.size() < HEAD_BYTES) {
        return std::nullopt;
    }
    const std::uint64_t length = takeNumber(bytes.substr(0, LENGTH_BYTES));
    if (length == 0 || length > MAX_BODY_BYTES || length > bytes.size() - HEAD_BYTES) {
        return std::nullopt;
    }
    const std::string_view body = bytes.substr(HEAD_BYTES, length);
    if (takeNumber(bytes.substr(LENGTH_BYTES, sizeof(std::uint64_t))) != XXH64(body.data(), body.size(), 0)) {
        return std::nullopt;
    }
    try {
        return Found{fromJson(Json::from_cbor(body.begin(), body.end())), HEAD_BYTES + body.size()};
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace bamboomoor::storage::internal
