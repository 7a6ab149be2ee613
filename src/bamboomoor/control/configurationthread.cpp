/**
 * Implements the thread that serves the active configuration to the daemons by long polling.
 */
#include "bamboomoor/control/configurationthread.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace bamboomoor::control
{

namespace
{

constexpr std::size_t RING_SIZE = 8'192;
constexpr base::Millis HOLD{400};
constexpr base::Millis IDLE_WAIT{1'000};
// Bytes of pieces that are sent in each interval; one piece is always sent.
constexpr std::size_t MAX_SENT_BYTES = 4'194'304;
constexpr base::Millis SEND_INTERVAL{25};

peer::wire::FreshenReply describe(const state::Machine &machine)
{
    const state::VersionInfo &info = machine.configuration().current();
    peer::wire::FreshenReply reply;
    reply.set_confirmed(true);
    reply.set_version(info.version);
    reply.set_digest(info.digest);
    reply.set_author(info.author);
    reply.set_accepted_wall_ms(info.wallMillis);
    const std::set<std::string> evacuated = machine.evacuations().evacuated();
    reply.mutable_evacuated()->Add(evacuated.begin(), evacuated.end());
    reply.set_evacuations(machine.evacuations().revision());
    return reply;
}

/** @brief Replaces the evacuations of a reply if the other one's are newer. */
void updateEvacuations(peer::wire::FreshenReply &reply, const peer::wire::FreshenReply &other)
{
    if (other.evacuations() > reply.evacuations()) {
        *reply.mutable_evacuated() = other.evacuated();
        reply.set_evacuations(other.evacuations());
    }
}

} // namespace

ConfigurationThread::ConfigurationThread(VoterThread &voter, const base::Clock &clock)
    : m_voter(voter)
    , m_clock(clock)
    , m_ring(RING_SIZE)
{
}

ConfigurationThread::~ConfigurationThread()
{
    stop();
}

void ConfigurationThread::start()
{
    m_thread = std::thread([this] {
        run();
    });
}

void ConfigurationThread::stop()
{
    m_stopping = true;
    m_ring.close();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void ConfigurationThread::freshen(
    const peer::wire::FreshenRequest &request, peer::Answer<peer::wire::FreshenReply> answer)
{
    m_voter.read([this, request, answer = std::move(answer)](const ReadOutcome &outcome) {
        if (!outcome.confirmed) {
            peer::wire::FreshenReply reply;
            reply.set_leader(outcome.leader);
            answer(std::move(reply));
            return;
        }
        const state::VersionInfo &info = outcome.machine->configuration().current();
        const bool known = info.version == request.known_version() && info.digest == request.known_digest();
        peer::wire::FreshenReply reply = describe(*outcome.machine);
        reply.set_leader(outcome.leader);
        reply.set_term(outcome.term);
        const std::vector<std::string> voters = m_voter.status().voters;
        reply.mutable_voters()->Add(voters.begin(), voters.end());
        if (known && request.known_evacuations() != reply.evacuations()) {
            answer(std::move(reply));
            return;
        }
        // After a restart or a snapshot from the leader, no change has been put into the ring yet.
        const bool isQueued = known || m_queuedDigest == info.digest || queueDocument(*outcome.machine);
        Event event(Waiter{answer, reply, m_clock.now() + HOLD, known, request.known_digest(),
            request.partial_checksum(), request.max_piece_bytes()});
        if (!isQueued || !m_ring.push(std::move(event))) {
            answer(known ? std::move(reply) : peer::wire::FreshenReply());
        }
    });
}

void ConfigurationThread::fetchPiece(
    const peer::wire::PieceRequest &request, peer::Answer<peer::wire::PieceReply> answer)
{
    const PieceWaiter waiter{std::move(answer), request};
    if (!m_ring.push(Event(waiter))) {
        waiter.answer({});
    }
}

void ConfigurationThread::onLeading(std::uint64_t /*term*/, const state::Machine & /*machine*/)
{
}

void ConfigurationThread::onNotLeading()
{
    static_cast<void>(m_ring.push(Stopped{}));
}

void ConfigurationThread::onConfiguration(const state::Machine &machine)
{
    static_cast<void>(queueDocument(machine));
}

void ConfigurationThread::onEvacuations(const state::Machine &machine)
{
    // What a full ring drops is in the next reply, no later than HOLD.
    static_cast<void>(m_ring.push(EvacuationsChanged{describe(machine)}));
}

bool ConfigurationThread::queueDocument(const state::Machine &machine)
{
    const state::VersionInfo &info = machine.configuration().current();
    if (!m_ring.push(Changed{describe(machine), info.text.value_or(std::string())})) {
        return false;
    }
    m_queuedDigest = info.digest;
    return true;
}

void ConfigurationThread::run()
{
    while (!m_stopping) {
        auto event = m_ring.pop(std::max(nextDeadline() - m_clock.now(), base::Millis{0}));
        while (event) {
            std::visit(
                [this](auto &it) {
                    on(it);
                },
                *event);
            event = m_ring.pop({0});
        }
        answerExpired();
        answerDue();
    }
    for (Waiter &it : m_waiters) {
        it.answer({});
    }
    for (Waiter &it : m_due) {
        it.answer({});
    }
    while (auto event = m_ring.pop({0})) {
        if (auto *waiter = std::get_if<Waiter>(&*event)) {
            waiter->answer({});
        } else if (auto *piece = std::get_if<PieceWaiter>(&*event)) {
            piece->answer({});
        }
    }
}

void ConfigurationThread::on(Waiter &event)
{
    if (!event.isKnown || m_version > event.unchanged.version()) {
        m_due.push_back(std::move(event));
        return;
    }
    if (m_evacuations.evacuations() > event.unchanged.evacuations()) {
        updateEvacuations(event.unchanged, m_evacuations);
        event.answer(event.unchanged);
        return;
    }
    m_waiters.push_back(std::move(event));
}

void ConfigurationThread::on(PieceWaiter &event)
{
    peer::wire::PieceReply reply;
    if (const EncodedDocument *document = m_store.find(event.request.checksum())) {
        reply.set_found(true);
        *reply.mutable_piece() = m_store.piece(*document, event.request.offset(), event.request.max_bytes());
    }
    event.answer(std::move(reply));
}

void ConfigurationThread::on(Changed &event)
{
    m_store.setCurrent(event.reply.digest(), std::move(event.text));
    m_version = event.reply.version();
    m_latest = std::move(event.reply);
    std::move(m_waiters.begin(), m_waiters.end(), std::back_inserter(m_due));
    m_waiters.clear();
}

void ConfigurationThread::on(EvacuationsChanged &event)
{
    m_evacuations = std::move(event.reply);
    for (Waiter &it : m_waiters) {
        updateEvacuations(it.unchanged, m_evacuations);
        it.answer(it.unchanged);
    }
    m_waiters.clear();
}

void ConfigurationThread::on(Stopped & /*event*/)
{
    for (Waiter &it : m_waiters) {
        it.answer(it.unchanged);
    }
    m_waiters.clear();
}

void ConfigurationThread::answerDue()
{
    const base::Millis now = m_clock.now();
    if (now >= m_intervalEnd) {
        m_sentBytes = 0;
        m_intervalEnd = now + SEND_INTERVAL;
    }
    while (!m_due.empty() && m_sentBytes < MAX_SENT_BYTES) {
        answerDue(m_due.front());
        m_due.pop_front();
    }
    if (m_due.empty()) {
        noteDistribution(now);
    }
}

void ConfigurationThread::answerDue(const Waiter &waiter)
{
    const EncodedDocument &document = m_store.encode(waiter.baseDigest);
    const bool isPartial = document.checksum == waiter.partialChecksum;
    peer::wire::FreshenReply reply = m_latest;
    *reply.mutable_piece() = m_store.piece(document, isPartial ? document.bytes.size() : 0, waiter.maxPieceBytes);
    updateEvacuations(reply, waiter.unchanged);
    updateEvacuations(reply, m_evacuations);
    if (!waiter.isKnown) {
        reply.set_leader(waiter.unchanged.leader());
        reply.set_term(waiter.unchanged.term());
        *reply.mutable_voters() = waiter.unchanged.voters();
    }
    const std::size_t size = reply.piece().data().size();
    m_distribution.begunAt = m_distribution.replies == 0 ? m_clock.now() : m_distribution.begunAt;
    m_sentBytes += size;
    m_distribution.bytes += size;
    ++m_distribution.replies;
    waiter.answer(std::move(reply));
}

void ConfigurationThread::noteDistribution(base::Millis now)
{
    if (m_distribution.replies > 0) {
        LOG(INFO) << "event=configuration_distributed version=" << m_version << " replies=" << m_distribution.replies
                  << " bytes=" << m_distribution.bytes << " elapsed_ms=" << (now - m_distribution.begunAt).count;
        m_distribution = {};
    }
}

base::Millis ConfigurationThread::nextDeadline() const
{
    base::Millis next = m_clock.now() + IDLE_WAIT;
    if (!m_waiters.empty()) {
        next = std::min(next, m_waiters.front().until);
    }
    return m_due.empty() ? next : std::min(next, m_intervalEnd);
}

void ConfigurationThread::answerExpired()
{
    const base::Millis now = m_clock.now();
    const auto due = std::find_if(m_waiters.begin(), m_waiters.end(), [now](const Waiter &it) {
        return it.until > now;
    });
    for (auto it = m_waiters.begin(); it != due; ++it) {
        it->answer(it->unchanged);
    }
    m_waiters.erase(m_waiters.begin(), due);
}

} // namespace bamboomoor::control
