/**
 * Implements the bounds on the memory of answers.
 */
#include "bamboomoor/http/answermemory.hpp"

#include <algorithm>

namespace bamboomoor::http
{

std::size_t answerLimit(std::size_t maxPerAnswer, std::size_t maxTotal, std::size_t total) noexcept
{
    return std::min(maxPerAnswer, maxTotal - std::min(total, maxTotal));
}

AnswerMemory::AnswerMemory(std::size_t maxPerAnswer, std::size_t maxTotal) noexcept
    : m_maxPerAnswer(maxPerAnswer)
    , m_maxTotal(maxTotal)
{
}

AnswerMemory::Share::Share(AnswerMemory &memory) noexcept
    : m_memory(memory)
{
}

AnswerMemory::Share::~Share()
{
    m_memory.m_total -= m_held;
}

bool AnswerMemory::Share::take(std::size_t bytes) noexcept
{
    if (m_held + bytes > answerLimit(m_memory.m_maxPerAnswer, m_memory.m_maxTotal, m_memory.m_total)) {
        return false;
    }
    m_held += bytes;
    m_memory.m_total += bytes;
    return true;
}

void AnswerMemory::Share::release(std::size_t bytes) noexcept
{
    m_held -= bytes;
    m_memory.m_total -= bytes;
}

} // namespace bamboomoor::http
