/**
 * Implements the thread that serves the active configuration to the daemons by long polling.
 */
#include "bamboomoor/control/configurationthread.hpp"

#include <algorithm>
#include <utility>

namespace bamboomoor::control
{

namespace
{

constexpr std::size_t RING_SIZE = 8'192;
constexpr base::Millis HOLD{400};
constexpr base::Millis IDLE_WAIT{1'000};

peer::wire::FreshenReply describe(const state::Machine &machine, bool withDocument)
{
    const state::VersionInfo &info = machine.configuration().current();
    peer::wire::FreshenReply reply;
    reply.set_confirmed(true);
    reply.set_version(info.version);
    reply.set_digest(info.digest);
    reply.set_author(info.author);
    reply.set_accepted_wall_ms(info.wallMillis);
    if (withDocument) {
        reply.set_has_document(true);
        reply.set_document(info.text.value_or(std::string()));
    }
    return reply;
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
        peer::wire::FreshenReply reply = describe(*outcome.machine, !known);
        reply.set_leader(outcome.leader);
        reply.set_term(outcome.term);
        const std::vector<std::string> voters = m_voter.status().voters;
        reply.mutable_voters()->Add(voters.begin(), voters.end());
        if (!known) {
            answer(std::move(reply));
            return;
        }
        Event event(Waiter{answer, reply, m_clock.now() + HOLD});
        if (!m_ring.push(std::move(event))) {
            answer(std::move(reply));
        }
    });
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
    static_cast<void>(m_ring.push(Changed{describe(machine, true)}));
}

void ConfigurationThread::run()
{
    while (!m_stopping) {
        const base::Millis next = m_waiters.empty() ? m_clock.now() + IDLE_WAIT : m_waiters.front().until;
        auto event = m_ring.pop(std::max(next - m_clock.now(), base::Millis{0}));
        while (event) {
            std::visit(
                [this](auto &it) {
                    on(it);
                },
                *event);
            event = m_ring.pop({0});
        }
        answerExpired();
    }
    for (Waiter &it : m_waiters) {
        it.answer({});
    }
    while (auto event = m_ring.pop({0})) {
        if (auto *waiter = std::get_if<Waiter>(&*event)) {
            waiter->answer({});
        }
    }
}

void ConfigurationThread::on(Waiter &event)
{
    if (m_version > event.unchanged.version()) {
        event.answer(m_latest);
        return;
    }
    m_waiters.push_back(std::move(event));
}

void ConfigurationThread::on(Changed &event)
{
    m_version = event.reply.version();
    m_latest = event.reply;
    for (Waiter &it : m_waiters) {
        it.answer(event.reply);
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
