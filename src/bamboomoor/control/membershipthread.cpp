/**
 * Implements the thread that maintains this daemon's membership of the control group.
 */
#include "bamboomoor/control/membershipthread.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <utility>

namespace bamboomoor::control
{

namespace
{

constexpr std::size_t RING_SIZE = 256;

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

std::string joined(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &it : names) {
        text += text.empty() ? "" : ",";
        text += it;
    }
    return text;
}

} // namespace

MembershipThread::MembershipThread(
    MembershipThreadOptions options, VoterThread &voter, PeerRegistry &peers, const base::Clock &clock)
    : m_options(std::move(options))
    , m_voter(voter)
    , m_peers(peers)
    , m_clock(clock)
    , m_ring(RING_SIZE)
    , m_plan(m_options.plan)
{
}

MembershipThread::~MembershipThread()
{
    stop();
}

void MembershipThread::start()
{
    m_thread = std::thread([this] {
        run();
    });
}

void MembershipThread::stop()
{
    m_stopping = true;
    m_ring.close();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void MembershipThread::join(const peer::wire::JoinRequest &request, const peer::Answer<peer::wire::JoinReply> &answer)
{
    const VoterStatus status = m_voter.status();
    peer::wire::JoinReply reply;
    // Never a leader named by others: members would go on naming a lost one to each other.
    reply.set_leader(status.leader);
    reply.mutable_voters()->Add(status.voters.begin(), status.voters.end());
    if (status.role == consensus::Role::Leader && !addressIn(request.id()).empty()) {
        reply.set_served(m_ring.push(JoinRequested{request.id()}));
    }
    answer(std::move(reply));
}

void MembershipThread::setSeeds(std::vector<std::string> seeds)
{
    if (!m_ring.push(NewSeeds{std::move(seeds)})) {
        LOG(ERROR) << "event=seeds_not_taken reason=ring_full";
    }
}

std::string MembershipThread::leader() const
{
    std::string followed = m_voter.status().leader;
    if (!followed.empty()) {
        return followed;
    }
    const absl::MutexLock lock(&m_mutex);
    return m_clock.now() - m_namedAt <= m_options.namedLeaderAge ? m_namedLeader : std::string();
}

void MembershipThread::run()
{
    base::Millis next = m_clock.now();
    while (!m_stopping) {
        auto event = m_ring.pop(std::max(next - m_clock.now(), base::Millis{0}));
        while (event) {
            std::visit(
                [this](auto &it) {
                    on(it);
                },
                *event);
            event = m_ring.pop({0});
        }
        if (m_clock.now() >= next) {
            review();
            next = m_clock.now() + m_options.interval;
        }
    }
}

void MembershipThread::on(JoinRequested &event)
{
    m_plan.addCandidate(m_clock.now(), event.id);
}

void MembershipThread::on(JoinReplied &event)
{
    m_peers.learn({event.reply.voters().begin(), event.reply.voters().end()});
    const absl::MutexLock lock(&m_mutex);
    m_namedLeader = event.reply.leader();
    m_namedAt = m_clock.now();
}

void MembershipThread::on(NewSeeds &event)
{
    m_options.seeds = std::move(event.seeds);
}

void MembershipThread::on(ChangeDone &event)
{
    m_changing = false;
    LOG(INFO) << "event=group_change change=" << consensus::CHANGE_KIND_NAMES.name(event.change.change)
              << " member=" << event.change.id << " outcome=" << consensus::PROPOSAL_STATUS_NAMES.name(event.status)
              << " reason=" << consensus::REJECT_REASON_NAMES.name(event.reason);
}

void MembershipThread::review()
{
    const VoterStatus status = m_voter.status();
    const bool placed = contains(status.voters, m_options.self) || contains(status.learners, m_options.self);
    if (placed) {
        m_peers.learn(status.voters);
    }
    if (status.voters != m_voters) {
        m_voters = status.voters;
        LOG(INFO) << "event=voters_known voters=" << joined(m_voters) << " learners=" << joined(status.learners)
                  << " term=" << status.term;
    }
    if (status.role == consensus::Role::Leader) {
        changeGroup(status);
    } else if (!placed || status.leader.empty()) {
        sendJoinRequests(status);
    }
}

void MembershipThread::sendJoinRequests(const VoterStatus &status)
{
    std::set<std::string> asked(status.voters.begin(), status.voters.end());
    const std::vector<std::string> known = m_peers.names();
    asked.insert(known.begin(), known.end());
    asked.insert(m_options.seeds.begin(), m_options.seeds.end());
    const std::string named = leader();
    if (!named.empty()) {
        asked.insert(named);
    }
    std::set<std::string> addresses;
    peer::wire::JoinRequest request;
    request.set_id(m_options.self);
    for (const std::string &it : asked) {
        const std::string address = addressIn(it);
        if (address == addressIn(m_options.self) || !addresses.insert(address).second) {
            continue;
        }
        m_peers.find(it)->call(request, m_options.timeout, [this](std::optional<peer::wire::JoinReply> reply) {
            if (reply && !reply->leader().empty()) {
                static_cast<void>(m_ring.push(JoinReplied{*std::move(reply)}));
            }
        });
    }
}

void MembershipThread::changeGroup(const VoterStatus &status)
{
    if (m_changing) {
        return;
    }
    const consensus::GroupView view{m_options.self, {status.voters, status.learners}, status.heardAt};
    const auto change = m_plan.nextChange(m_clock.now(), view);
    if (!change) {
        return;
    }
    m_changing = true;
    m_voter.changeVoters(change->change, change->id, [this, change = *change](const ProposalOutcome &verdict) {
        if (!m_ring.push(ChangeDone{change, verdict.status, verdict.reason}) && !m_ring.closed()) {
            LOG(FATAL) << "event=group_ring_full";
        }
    });
}

} // namespace bamboomoor::control
