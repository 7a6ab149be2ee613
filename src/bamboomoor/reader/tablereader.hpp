/**
 * Strict reading of TOML tables: every key has a type and a range, and a key that nobody asked for is an error.
 * Settings and configuration documents are read through it, so that both explain mistakes in the same way.
 */
#pragma once

#include "bamboomoor/base/outcome.hpp"

#include <toml++/toml.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboomoor::reader
{

/** @brief The first mistake found in a text. */
struct Problem {
    // The key's full path, such as "entry.threads", or "line 3, column 7" for broken TOML.
    std::string place;
    // What is allowed there, on one line.
    std::string message;

    friend bool operator==(const Problem &, const Problem &) = default;
};

/** @brief The allowed values of an integer, both ends included. */
struct Range {
    std::int64_t least = 0;
    std::int64_t most = INT64_MAX;
};

/** @brief The form that a text must have. */
enum class Form {
    // Any text.
    Any,
    // At least one character.
    Filled,
    // 1 to 128 letters, digits and the characters . _ - : / @ +
    Name,
    // An IPv4 address or an IPv6 address in brackets, a colon, and a port from 1 to 65535.
    Address,
    // 64 lower-case hexadecimal digits.
    Sha256,
};

/**
 * @brief Checks the form of a text.
 * @param text The text.
 * @param form The form.
 * @return True when the text has it.
 */
[[nodiscard]] bool hasForm(std::string_view text, Form form);

/**
 * @brief Parses TOML.
 * @param text The whole document.
 * @return Its root table, or where the TOML is broken.
 */
[[nodiscard]] base::Result<toml::table, Problem> parseToml(std::string_view text);

/**
 * @brief Reads one table; the first mistake goes to the shared Problem, and reading goes on with defaults.
 */
class TableReader
{
public:
    /**
     * @brief Reads a table.
     * @param table The table; must outlive the reader.
     * @param place The table's path, empty for the root.
     * @param problem Receives the first mistake; must outlive the reader.
     */
    TableReader(const toml::table &table, std::string place, std::optional<Problem> &problem);

    /**
     * @brief Reads a text that must be there.
     * @param key The key.
     * @param form The form that it must have.
     * @return The text, empty after a mistake.
     */
    [[nodiscard]] std::string text(std::string_view key, Form form);

    /**
     * @brief Reads a text that may be missing.
     * @param key The key.
     * @param form The form that it must have when it is there.
     * @return The text, or nothing.
     */
    [[nodiscard]] std::optional<std::string> optionalText(std::string_view key, Form form);

    /**
     * @brief Reads an integer that must be there.
     * @param key The key.
     * @param range The allowed values.
     * @return The integer, or the range's least after a mistake.
     */
    [[nodiscard]] std::int64_t number(std::string_view key, Range range);

    /**
     * @brief Reads an integer that may be missing.
     * @param key The key.
     * @param otherwise The value of a missing key.
     * @param range The allowed values.
     * @return The integer.
     */
    [[nodiscard]] std::int64_t number(std::string_view key, std::int64_t otherwise, Range range);

    /**
     * @brief Reads a span in seconds, with or without a fraction, that may be missing.
     * @param key The key.
     * @param otherwise The span of a missing key, in milliseconds.
     * @param range The allowed values, in milliseconds.
     * @return The span in milliseconds.
     */
    [[nodiscard]] std::int64_t seconds(std::string_view key, std::int64_t otherwise, Range range);

    /**
     * @brief Reads a share from 0 to 1 that may be missing.
     * @param key The key.
     * @param otherwise The share of a missing key, in thousandths.
     * @return The share in thousandths.
     */
    [[nodiscard]] std::int64_t share(std::string_view key, std::int64_t otherwise);

    /**
     * @brief Reads a truth value that may be missing.
     * @param key The key.
     * @param otherwise The value of a missing key.
     * @return The value.
     */
    [[nodiscard]] bool flag(std::string_view key, bool otherwise);

    /**
     * @brief Reads a table inside this one; a missing one reads as empty.
     * @param key The key.
     * @param read Called once with the reader of the inner table; its unknown keys are checked afterwards.
     */
    void table(std::string_view key, const std::function<void(TableReader &)> &read);

    /**
     * @brief Reads an array of tables; a missing one has no tables.
     * @param key The key.
     * @param read Called for each table in order; its unknown keys are checked afterwards.
     */
    void tables(std::string_view key, const std::function<void(TableReader &)> &read);

    /** @brief Reports the first key that no call has asked for. */
    void finish();

    /**
     * @brief Reports a mistake at a key of this table.
     * @param key The key, empty for the table itself.
     * @param message What is allowed there.
     */
    void fail(std::string_view key, std::string message);

    /**
     * @brief Names the path of this table.
     * @return The path, empty for the root.
     */
    [[nodiscard]] const std::string &place() const noexcept
    {
        return m_place;
    }

private:
    [[nodiscard]] std::int64_t thousandths(
        std::string_view key, std::int64_t otherwise, Range range, const std::string &rule);
    [[nodiscard]] const toml::node *find(std::string_view key);

    const toml::table &m_table;
    std::string m_place;
    std::optional<Problem> &m_problem;
    // Every key that was asked for, in that order.
    std::vector<std::string> m_known;
};

} // namespace bamboomoor::reader
