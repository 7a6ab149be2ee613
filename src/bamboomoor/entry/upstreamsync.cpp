/**
 * The thread that spreads upstreams.
 */
#include "bamboomoor/entry/upstreamsync.hpp"
#include "bamboomoor/membership/codec.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

namespace bamboomoor::entry
{

namespace
{

constexpr std::size_t RING_SIZE = 64;
// Upstreams in an answer to a pull.
constexpr std::size_t MIN_PAGE = 4;
constexpr std::size_t INITIAL_PAGE = 128;
constexpr std::size_t MAX_PAGE = 2'048;
// Seconds between two lines about deltas that cannot be read, which are sent again and again.
constexpr int UNREADABLE_LOG_INTERVAL = 60;

base::Result<membership::Delta, membership::ParseError> readDelta(const std::string &text, std::string_view sender)
{
    auto delta = membership::parseDelta(text);
    if (!delta) {
        LOG_EVERY_T(WARNING, UNREADABLE_LOG_INTERVAL)
            << "event=upstreams_unreadable vm=" << sender
            << " reason=" << membership::PARSE_ERROR_KIND_NAMES.name(delta.error().kind);
    } else if (!delta.value().unreadable.empty()) {
        LOG_EVERY_T(WARNING, UNREADABLE_LOG_INTERVAL)
            << "event=upstreams_left_out vm=" << sender << " count=" << delta.value().unreadable.size()
            << " first=" << delta.value().unreadable.front();
    }
    return delta;
}

} // namespace

UpstreamSync::UpstreamSync(UpstreamSyncOptions options, UpstreamBook &heard, UpstreamBook &book,
    const control::PeerRegistry &peers, const base::Clock &clock)
    : m_options(std::move(options))
    , m_heard(heard)
    , m_book(book)
    , m_peers(peers)
    , m_clock(clock)
    , m_answers(RING_SIZE)
    , m_page(MIN_PAGE, INITIAL_PAGE, MAX_PAGE)
{
    // Daemons spread their pulls over the voters.
    const auto names = peers.names();
    m_synced = std::find(names.begin(), names.end(), m_options.self) != names.end();
    m_puller = names[std::hash<std::string>()(m_options.vm) % names.size()];
}

UpstreamSync::~UpstreamSync()
{
    stop();
}

void UpstreamSync::start()
{
    m_thread = std::thread([this] {
        run();
    });
}

void UpstreamSync::stop()
{
    m_stopping = true;
    m_answers.close();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void UpstreamSync::run()
{
    base::Millis next = m_clock.now();
    while (!m_stopping) {
        const base::Millis now = m_clock.now();
        if (now >= next) {
            m_heard.expire(now);
            m_book.expire(bookTime());
            askAll();
            next = now + m_options.interval;
        }
        if (auto answer = m_answers.pop(std::max(next - m_clock.now(), base::Millis{0}))) {
            take(*std::move(answer));
        }
    }
}

void UpstreamSync::followVoters()
{
    const std::vector<std::string> names = m_peers.names();
    const std::set<std::string> present(names.begin(), names.end());
    std::erase_if(m_voters, [&present](const auto &it) {
        return !present.contains(it.first);
    });
    for (const std::string &it : present) {
        m_voters.try_emplace(it);
    }
    if (!present.contains(m_puller)) {
        choosePuller(m_puller);
    }
}

void UpstreamSync::askAll()
{
    followVoters();
    const bool pulls = !m_voters.contains(m_options.self);
    for (auto &[voter, state] : m_voters) {
        const bool self = voter == m_options.self;
        if (!self && !state.waiting) {
            ask(voter, state, pulls && voter == m_puller);
        }
    }
}

void UpstreamSync::ask(const std::string &voter, VoterState &state, bool pull)
{
    const base::Millis now = m_clock.now();
    const membership::Delta delta = m_heard.changesSince(now, state.pushed);
    const bool empty = delta.entries.empty() && delta.renewals.empty() && delta.removed.empty();
    if (empty && !pull) {
        return;
    }
    peer::wire::UpstreamSync request;
    request.set_vm(m_options.vm);
    request.set_epoch(state.pulled.epoch);
    request.set_revision(state.pulled.revision);
    request.set_push_only(!pull);
    request.set_max_upstreams(m_page.value());
    if (!empty) {
        request.set_delta(membership::encodeDelta(delta));
    }
    state.waiting = true;
    m_peers.find(voter)->call(request, m_options.timeout,
        [this, voter, now, pushed = delta.position, pull](std::optional<peer::wire::UpstreamSync> reply) {
            static_cast<void>(m_answers.push(Answer{voter, std::move(reply), now, pushed, pull}));
        });
}

void UpstreamSync::take(Answer answer)
{
    const auto found = m_voters.find(answer.voter);
    if (found == m_voters.end()) {
        return;
    }
    VoterState &state = found->second;
    state.waiting = false;
    if (!answer.reply) {
        if (answer.pulled) {
            m_page.onTimeout();
        }
        choosePuller(answer.voter);
        return;
    }
    state.pushed = answer.reply->resend() ? membership::Position{} : answer.pushed;
    if (!answer.pulled) {
        return;
    }
    const auto delta = readDelta(answer.reply->delta(), answer.voter);
    if (!delta) {
        choosePuller(answer.voter);
        return;
    }
    takeSoftware(*answer.reply);
    const auto merged = m_book.merge(answer.sentAt, delta.value());
    state.pulled = merged.incomplete ? membership::Position{} : delta.value().position;
    if (answer.reply->has_more()) {
        m_page.onArrived(m_clock.now() - answer.sentAt);
        ask(answer.voter, state, answer.voter == m_puller);
        return;
    }
    m_answeredAt = answer.sentAt.count;
    if (answer.reply->warming()) {
        choosePuller(answer.voter);
    } else {
        m_synced = true;
        m_pulledAt = answer.sentAt.count;
        if (answer.reply->cut_off()) {
            leaveCutOff(answer.sentAt, answer.voter);
        }
    }
}

void UpstreamSync::leaveCutOff(base::Millis now, const std::string &voter)
{
    if (m_leftCutOffAt && now - *m_leftCutOffAt < m_options.cutOffPause) {
        return;
    }
    m_leftCutOffAt = now;
    choosePuller(voter);
    LOG(INFO) << "event=list_source_changed reason=cut_off from=" << voter << " to=" << m_puller;
}

void UpstreamSync::takeSoftware(const peer::wire::UpstreamSync &reply)
{
    // A voter that has just started may not have applied the latest versions.
    lineage::SoftwareVersions versions = reply.warming() ? m_book.software() : lineage::SoftwareVersions{};
    for (const auto &it : reply.software()) {
        versions[it.service()].insert(it.versions().begin(), it.versions().end());
    }
    m_book.setSoftware(std::move(versions));
}

base::Millis UpstreamSync::bookTime() const noexcept
{
    const base::Millis now = m_clock.now();
    return m_options.keepsWhenCutOff ? std::min(now, base::Millis{m_pulledAt} + m_options.pullGrace) : now;
}

void UpstreamSync::choosePuller(const std::string &failed)
{
    if (m_puller != failed) {
        return;
    }
    const auto it = m_voters.upper_bound(m_puller);
    m_puller = it == m_voters.end() ? m_voters.begin()->first : it->first;
}

peer::wire::UpstreamSync answerSync(
    const peer::wire::UpstreamSync &request, UpstreamBook &book, base::Millis now, bool warming)
{
    peer::wire::UpstreamSync answer;
    answer.set_warming(warming);
    if (!request.delta().empty()) {
        const auto delta = readDelta(request.delta(), request.vm());
        answer.set_resend(!delta || book.merge(now, delta.value()).incomplete);
    }
    if (!request.push_only()) {
        for (const auto &[service, versions] : book.software()) {
            auto *software = answer.add_software();
            software->set_service(service);
            software->mutable_versions()->Add(versions.begin(), versions.end());
        }
        const membership::Delta delta =
            book.changesSince(now, {request.epoch(), request.revision()}, request.max_upstreams());
        answer.set_has_more(delta.position != book.position());
        answer.set_delta(membership::encodeDelta(delta));
    }
    return answer;
}

} // namespace bamboomoor::entry
