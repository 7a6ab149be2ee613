/**
 * Reads typed fields of a JSON object and records the first error with the path of its field.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/nametable.hpp"
#include "bamboomoor/membership/codec.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboomoor::membership::internal
{

/** @brief Reader of one object; after an error every read returns an empty value. */
class Reader
{
public:
    /**
     * @brief Constructs a reader.
     * @param value The object, which must outlive the reader.
     * @param path Path of the object; empty for the whole document.
     * @param error Receives the first error; must outlive the reader.
     */
    Reader(const nlohmann::json &value, std::string path, std::optional<ParseError> &error);

    /** @brief Returns whether a field is present. */
    [[nodiscard]] bool has(const char *field) const;

    /** @brief Reads a string. */
    [[nodiscard]] std::string text(const char *field);

    /** @brief Reads a string that is neither empty nor longer than 256 bytes. */
    [[nodiscard]] std::string name(const char *field);

    /** @brief Reads "IP:PORT" or "[IP]:PORT". */
    [[nodiscard]] std::string address(const char *field);

    /** @brief Reads a non-negative integer. */
    [[nodiscard]] std::uint64_t number(const char *field);

    /** @brief Reads a non-negative duration in milliseconds, below 2^32. */
    [[nodiscard]] base::Millis millis(const char *field);

    /** @brief Reads a boolean. */
    [[nodiscard]] bool flag(const char *field);

    /** @brief Reads a list of strings that are neither empty nor longer than 256 bytes. */
    [[nodiscard]] std::vector<std::string> names(const char *field);

    /** @brief Reads an enumerator by its name in a table. */
    template<class Enum, std::size_t Size>
    [[nodiscard]] Enum value(const char *field, const base::NameTable<Enum, Size> &names)
    {
        const std::string text = name(field);
        const std::optional<Enum> found = names.find(text);
        if (!found) {
            fail(ParseErrorKind::BadValue, field);
        }
        return found.value_or(Enum{});
    }

    /** @brief Reads a nested object with the given function. */
    template<class Value>
    [[nodiscard]] Value object(const char *field, Value (*read)(Reader &))
    {
        const nlohmann::json *found = get(field);
        if (found == nullptr) {
            return {};
        }
        Reader reader(*found, pathOf(field), m_error);
        return read(reader);
    }

    /** @brief Reads a list of objects with the given function. */
    template<class Value>
    [[nodiscard]] std::vector<Value> list(const char *field, Value (*read)(Reader &))
    {
        std::vector<Value> values;
        const nlohmann::json *found = get(field);
        if (found == nullptr) {
            return values;
        }
        if (!found->is_array()) {
            fail(ParseErrorKind::WrongType, field);
            return values;
        }
        for (std::size_t n = 0; n < found->size() && !m_error; ++n) {
            Reader reader((*found)[n], pathOf(field) + "[" + std::to_string(n) + "]", m_error);
            values.push_back(read(reader));
        }
        return values;
    }

    /**
     * @brief Reads a list of objects with the given function, and leaves out those that it cannot read.
     * @param field Name of the list.
     * @param read Reads one element.
     * @param unreadable Receives the path of the first unreadable field of each element that is left out.
     */
    template<class Value>
    [[nodiscard]] std::vector<Value> readableOf(
        const char *field, Value (*read)(Reader &), std::vector<std::string> &unreadable)
    {
        std::vector<Value> values;
        const nlohmann::json *found = get(field);
        if (found == nullptr) {
            return values;
        }
        if (!found->is_array()) {
            fail(ParseErrorKind::WrongType, field);
            return values;
        }
        for (std::size_t n = 0; n < found->size(); ++n) {
            std::optional<ParseError> error;
            Reader reader((*found)[n], pathOf(field) + "[" + std::to_string(n) + "]", error);
            Value value = read(reader);
            if (error) {
                unreadable.push_back(std::move(error->field));
            } else {
                values.push_back(std::move(value));
            }
        }
        return values;
    }

private:
    [[nodiscard]] const nlohmann::json *get(const char *field);
    [[nodiscard]] std::string pathOf(std::string_view field) const;
    void fail(ParseErrorKind kind, std::string_view field);

    const nlohmann::json &m_value;
    std::string m_path;
    std::optional<ParseError> &m_error;
};

} // namespace bamboomoor::membership::internal
