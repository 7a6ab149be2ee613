/**
 * Tables that give the values of an enum class their names, in both directions.
 */
#pragma once

#include <array>
#include <cassert>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace bamboomoor::base
{

/**
 * @brief The names of an enum class whose values count up from 0.
 * @tparam Enum The enum class.
 * @tparam Size The number of its values.
 */
template<class Enum, std::size_t Size>
class NameTable
{
public:
    /**
     * @brief Makes a table.
     * @param names One name for each value, in the order of the values.
     */
    explicit constexpr NameTable(std::array<std::string_view, Size> names) noexcept
        : m_names(names)
    {
    }

    /**
     * @brief Names a value.
     * @param value A value of the enum class.
     * @return Its name.
     */
    [[nodiscard]] constexpr std::string_view name(Enum value) const noexcept
    {
        const auto n = static_cast<std::size_t>(value);
        assert(n < Size);
        return m_names[n];
    }

    /**
     * @brief Finds the value of a name.
     * @param name The name, in the table's spelling.
     * @return The value, or nothing for an unknown name.
     */
    [[nodiscard]] constexpr std::optional<Enum> find(std::string_view name) const noexcept
    {
        for (std::size_t n = 0; n < Size; ++n) {
            if (m_names[n] == name) {
                return static_cast<Enum>(n);
            }
        }
        return std::nullopt;
    }

    /**
     * @brief Lists the names for an error message.
     * @return The names, separated by commas.
     */
    [[nodiscard]] std::string list() const
    {
        std::string text;
        for (const std::string_view name : m_names) {
            text += text.empty() ? "" : ", ";
            text += name;
        }
        return text;
    }

    /**
     * @brief Counts the values.
     * @return The number of names.
     */
    [[nodiscard]] static constexpr std::size_t size() noexcept
    {
        return Size;
    }

private:
    std::array<std::string_view, Size> m_names;
};

/**
 * @brief Makes a table without counting its names by hand.
 * @tparam Enum The enum class.
 * @param names One name for each value, in the order of the values.
 * @return The table.
 */
template<class Enum, class... Names>
[[nodiscard]] constexpr NameTable<Enum, sizeof...(Names)> makeNames(Names... names) noexcept
{
    return NameTable<Enum, sizeof...(Names)>({std::string_view(names)...});
}

} // namespace bamboomoor::base
