/**
 * Small numbers for keys that occur in many records, so that records are small and compared fast.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace bamboomoor::quarantine
{

/** @brief Numbers keys from 1 while they are in use; 0 stands for no key. */
template<typename Key>
class Numbering
{
public:
    Numbering() = default;
    Numbering(const Numbering &) = delete;
    Numbering &operator=(const Numbering &) = delete;
    Numbering(Numbering &&) noexcept = default;
    Numbering &operator=(Numbering &&) noexcept = default;
    ~Numbering() = default;

    /** @brief Uses a key once more. @param key The key. @return Its number. */
    std::uint32_t acquire(const Key &key)
    {
        const auto [it, isNew] = m_numbers.try_emplace(key, 0);
        if (isNew) {
            if (m_free.empty()) {
                m_free.push_back(static_cast<std::uint32_t>(m_slots.size()));
                m_slots.emplace_back();
            }
            it->second = m_free.back();
            m_free.pop_back();
            m_slots[it->second].it = it;
        }
        ++m_slots[it->second].uses;
        return it->second;
    }

    /** @brief Ends one use of a key, which loses its number with the last one. @param number Its number. */
    void release(std::uint32_t number)
    {
        if (number != 0 && --m_slots[number].uses == 0) {
            m_numbers.erase(m_slots[number].it);
            m_free.push_back(number);
        }
    }

    /** @brief Finds a key. @param key The key. @return Its number, or 0 if it is not in use. */
    [[nodiscard]] std::uint32_t find(const Key &key) const
    {
        const auto it = m_numbers.find(key);
        return it == m_numbers.end() ? 0 : it->second;
    }

    /** @brief Returns the key with a number that is in use. @param number The number. */
    [[nodiscard]] const Key &key(std::uint32_t number) const
    {
        return m_slots[number].it->first;
    }

    /** @brief Returns a number above all that are in use. */
    [[nodiscard]] std::size_t bound() const noexcept
    {
        return m_slots.size();
    }

    /** @brief Lists all keys with their numbers, sorted. */
    [[nodiscard]] const std::map<Key, std::uint32_t> &numbers() const noexcept
    {
        return m_numbers;
    }

private:
    struct Slot {
        typename std::map<Key, std::uint32_t>::iterator it;
        std::size_t uses = 0;
    };

    std::map<Key, std::uint32_t> m_numbers;
    // By number; the first one is not used.
    std::vector<Slot> m_slots{1};
    std::vector<std::uint32_t> m_free;
};

} // namespace bamboomoor::quarantine
