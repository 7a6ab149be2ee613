/**
 * The bounds of the replicated state.
 */
#pragma once

#include <cstddef>

namespace bamboomoor::state
{

/** @brief Bounds that keep a snapshot small; all replicas of a control group must use the same. */
struct Limits {
    // Entries of the history of versions.
    std::size_t history = 1'000;
    // The newest entries of the history that keep their document's text.
    std::size_t historyTexts = 100;
    // The most bytes of all texts in the history; the document in force is kept beside it.
    std::size_t historyTextBytes = 16'777'216;
    // Change ids whose outcomes are remembered.
    std::size_t changes = 10'000;
    // Withdrawn keys that are remembered.
    std::size_t withdrawnKeys = 100'000;
    // Claims, open and closed.
    std::size_t claims = 100'000;
    // The largest stored answer, headers and body.
    std::size_t answerBytes = 65'536;
    // The most bytes of all stored answers.
    std::size_t allAnswerBytes = 67'108'864;
};

} // namespace bamboomoor::state
