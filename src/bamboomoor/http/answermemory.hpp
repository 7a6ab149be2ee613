/**
 * Bounds the memory of answers that were received and are not passed on yet, so that upstreams that send without end
 * cannot take the memory of the process.
 */
#pragma once

#include <atomic>
#include <cstddef>

namespace bamboomoor::http
{

/**
 * @brief The memory for the answers of all calls. Bytes are taken on one thread, as a check and its addition are two
 * steps; they may be released on any.
 *
 * An answer may hold no more than what is still free. So many long answers share most of the memory, while a short one
 * always finds room.
 */
class AnswerMemory
{
public:
    /**
     * @brief Creates the bounds.
     * @param maxPerAnswer Maximum bytes of one answer.
     * @param maxTotal Maximum bytes of all answers.
     */
    AnswerMemory(std::size_t maxPerAnswer, std::size_t maxTotal) noexcept;

    /** @brief What one answer holds; it is freed with this object. */
    class Share
    {
    public:
        /**
         * @brief Creates an empty share.
         * @param memory The memory; must outlive this object.
         */
        explicit Share(AnswerMemory &memory) noexcept;
        ~Share();
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /**
         * @brief Takes memory for bytes that were received.
         * @param bytes Their number.
         * @return False if the answer exceeds its bounds; nothing is taken then.
         */
        [[nodiscard]] bool take(std::size_t bytes) noexcept;

        /**
         * @brief Frees memory of bytes that were passed on.
         * @param bytes Their number; at most what was taken.
         */
        void release(std::size_t bytes) noexcept;

    private:
        AnswerMemory &m_memory;
        std::atomic<std::size_t> m_held{0};
    };

    /** @brief Returns the bytes held by all answers. */
    [[nodiscard]] std::size_t total() const noexcept
    {
        return m_total;
    }

private:
    const std::size_t m_maxPerAnswer;
    const std::size_t m_maxTotal;
    std::atomic<std::size_t> m_total{0};
};

/**
 * @brief Returns how much one of several answers in a bounded memory may hold.
 * @param maxPerAnswer Maximum bytes of one answer.
 * @param maxTotal Maximum bytes of all answers.
 * @param total Bytes that all answers hold.
 * @return Bytes.
 */
[[nodiscard]] std::size_t answerLimit(std::size_t maxPerAnswer, std::size_t maxTotal, std::size_t total) noexcept;

} // namespace bamboomoor::http
