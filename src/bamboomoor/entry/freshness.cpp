/**
 * The thread that keeps this daemon's configuration in force.
 */
#include "bamboomoor/entry/freshness.hpp"

#include <absl/strings/str_join.h>
#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace bamboomoor::entry
{

namespace
{

constexpr std::size_t RING_SIZE = 64;
constexpr std::size_t MIN_PIECE_BYTES = 1'024;
constexpr std::size_t INITIAL_PIECE_BYTES = 32'768;
constexpr std::size_t MAX_PIECE_BYTES = 131'072;
// Pieces in a row that may time out before the leader is asked anew, which may name a later version.
constexpr int MAX_PIECE_TIMEOUTS = 3;
// Seconds between two lines about questions without a reply.
constexpr int UNANSWERED_LOG_INTERVAL = 1;

bool sameVoters(const peer::wire::WitnessReply &lhs, const peer::wire::WitnessReply &rhs)
{
    return std::equal(lhs.voters().begin(), lhs.voters().end(), rhs.voters().begin(), rhs.voters().end());
}

} // namespace

bool confirmsVersion(const std::vector<WitnessAnswer> &answers, std::uint64_t version)
{
    for (const WitnessAnswer &first : answers) {
        const auto &voters = first.reply.voters();
        const auto agreeing = std::count_if(answers.begin(), answers.end(), [&](const WitnessAnswer &it) {
            const bool member = std::find(voters.begin(), voters.end(), it.voter) != voters.end();
            return member && it.reply.usable() && it.reply.version() <= version && sameVoters(it.reply, first.reply);
        });
        if (first.reply.usable() && agreeing > voters.size() / 2) {
            return true;
        }
    }
    return false;
}

Freshness::Freshness(FreshnessOptions options, InForce &inForce, control::PeerRegistry &peers, LeaderHint &leader,
    const base::Clock &clock, std::function<void()> onChange)
    : m_options(std::move(options))
    , m_inForce(inForce)
    , m_peers(peers)
    , m_leader(leader)
    , m_clock(clock)
    , m_onChange(std::move(onChange))
    , m_answers(RING_SIZE)
    , m_pieces(RING_SIZE)
    , m_testimonies(RING_SIZE)
    , m_pieceSize(MIN_PIECE_BYTES, INITIAL_PIECE_BYTES, MAX_PIECE_BYTES)
{
}

Freshness::~Freshness()
{
    stop();
}

void Freshness::start()
{
    m_thread = std::thread([this] {
        run();
    });
}

void Freshness::stop()
{
    m_stopping = true;
    m_answers.close();
    m_pieces.close();
    m_testimonies.close();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void Freshness::run()
{
    base::Millis pause = m_options.pause;
    bool redirected = false;
    // At most once between two pauses.
    bool votersAsked = false;
    const auto askVotersIfNeeded = [this, &votersAsked] {
        if (!votersAsked && needsVoters()) {
            votersAsked = true;
            askVoters();
        }
    };
    while (!m_stopping) {
        askVotersIfNeeded();
        const Answered answered = askLeader(m_leader.get());
        if (answered == Answered::Confirmed) {
            pause = m_options.pause;
            votersAsked = false;
        } else if (answered == Answered::Unconfirmed || redirected) {
            askVotersIfNeeded();
            // Only a closed ring or the pause ends this wait, as every question has its own round.
            static_cast<void>(m_answers.pop(pause));
            pause = std::min(pause * 2, m_options.longestPause);
            votersAsked = false;
        }
        redirected = answered == Answered::Redirected && !redirected;
        if (answered == Answered::Confirmed && m_transfer && !continueTransfer()) {
            // A document that cannot be read is not fetched again and again.
            static_cast<void>(m_answers.pop(m_needsWhole ? m_options.longestPause : m_options.pause));
        }
        watchLease();
    }
}

bool Freshness::needsVoters() const
{
    // While a later version arrives, no voter can confirm the one held.
    if (m_transfer) {
        return false;
    }
    // A leader that does not answer must leave the voters their time.
    return m_inForce.freshUntil() - m_clock.now() < m_options.timeout * 2;
}

Freshness::Answered Freshness::askLeader(const std::string &voter)
{
    const std::uint64_t round = ++m_round;
    const auto held = m_inForce.current();
    peer::wire::FreshenRequest request;
    request.set_vm(m_options.vm);
    request.set_known_version(held ? held->version : 0);
    request.set_known_digest(held && !m_needsWhole ? held->digest : std::string());
    request.set_max_piece_bytes(m_pieceSize.value());
    request.set_partial_checksum(m_transfer ? m_transfer->checksum() : 0);
    request.set_known_evacuations(m_inForce.evacuations()->revision);
    const base::Millis sentAt = m_clock.now();
    m_peers.find(voter)->call(request, m_options.timeout, [this, round](std::optional<peer::wire::FreshenReply> reply) {
        static_cast<void>(m_answers.push(LeaderAnswer{round, std::move(reply)}));
    });
    while (auto answer = m_answers.pop(m_options.timeout * 2)) {
        if (answer->round != round) {
            continue;
        }
        if (answer->reply && answer->reply->confirmed()) {
            m_leader.learn(answer->reply->leader());
            learnVoters(*answer->reply);
            return take(*answer->reply, sentAt) ? Answered::Confirmed : Answered::Unconfirmed;
        }
        if (answer->reply && !answer->reply->leader().empty() && answer->reply->leader() != voter) {
            m_leader.learn(answer->reply->leader());
            return Answered::Redirected;
        }
        if (!answer->reply) {
            m_pieceSize.onTimeout();
            noteUnanswered(voter, m_clock.now() - sentAt);
        }
        m_leader.skip(voter);
        return Answered::Unconfirmed;
    }
    return Answered::Unconfirmed;
}

void Freshness::noteUnanswered(const std::string &voter, base::Millis waited)
{
    ++m_unanswered;
    LOG_EVERY_T(WARNING, UNANSWERED_LOG_INTERVAL) << "event=configuration_unanswered vm=" << voter
                                                  << " waited_ms=" << waited.count << " in_a_row=" << m_unanswered;
}

void Freshness::learnVoters(const peer::wire::FreshenReply &reply)
{
    if (m_options.learnsVoters) {
        const std::vector<std::string> voters(reply.voters().begin(), reply.voters().end());
        m_peers.learn(voters);
        m_leader.learnVoters(voters);
    }
}

bool Freshness::takeEvacuations(const peer::wire::FreshenReply &reply)
{
    auto evacuations = std::make_shared<Evacuations>();
    evacuations->revision = reply.evacuations();
    evacuations->dataCentres.insert(reply.evacuated().begin(), reply.evacuated().end());
    if (!m_inForce.evacuate(evacuations)) {
        return false;
    }
    LOG(INFO) << "event=evacuations_taken revision=" << evacuations->revision << " data_centres=\""
              << absl::StrJoin(evacuations->dataCentres, ",") << '"';
    return true;
}

bool Freshness::take(const peer::wire::FreshenReply &reply, base::Millis sentAt)
{
    // Before the configuration, as an entry without one serves nobody.
    bool isChanged = takeEvacuations(reply);
    m_unanswered = 0;
    const auto held = m_inForce.current();
    if (reply.has_piece() && (!held || reply.version() > held->version)) {
        m_inForce.noteLater(reply.version(), m_clock.now());
        takePiece(reply, sentAt);
        if (m_transfer->isComplete()) {
            if (!install(m_clock.now())) {
                return false;
            }
            isChanged = true;
        }
    }
    m_inForce.extend(reply.version(), sentAt + m_options.lease);
    if (isChanged) {
        m_onChange();
    }
    return true;
}

void Freshness::takePiece(const peer::wire::FreshenReply &reply, base::Millis sentAt)
{
    // A reply that repeats the version in progress carries no data.
    if (!m_transfer || m_transfer->checksum() != reply.piece().checksum()) {
        m_transfer.emplace(reply);
        m_transferBegunAt = sentAt;
    }
}

bool Freshness::install(base::Millis receivedAt)
{
    const DocumentTransfer transfer = *std::exchange(m_transfer, std::nullopt);
    const auto made = transfer.decode(m_inForce.current());
    m_needsWhole = !made;
    if (!made) {
        LOG(ERROR) << "event=configuration_unreadable version=" << transfer.version() << " reason=\"" << made.error()
                   << '"';
        return false;
    }
    m_inForce.install(made.value());
    LOG(INFO) << "event=configuration_taken version=" << transfer.version() << " digest=" << made.value()->digest
              << " bytes=" << transfer.offset() << " pieces=" << transfer.pieces()
              << " waited_ms=" << (receivedAt - m_transferBegunAt).count
              << " apply_ms=" << (m_clock.now() - receivedAt).count;
    return true;
}

bool Freshness::continueTransfer()
{
    int timeouts = 0;
    while (!m_stopping && !m_transfer->isComplete()) {
        const auto reply = fetchPiece();
        if (!reply && ++timeouts < MAX_PIECE_TIMEOUTS) {
            continue;
        }
        // The leader may be another one now; its reply to a question tells whether the transfer can go on.
        if (!reply || !reply->found()) {
            return false;
        }
        timeouts = 0;
        if (!m_transfer->add(reply->piece())) {
            m_transfer.reset();
            return false;
        }
    }
    if (m_stopping || !install(m_clock.now())) {
        return false;
    }
    m_onChange();
    return true;
}

std::optional<peer::wire::PieceReply> Freshness::fetchPiece()
{
    const std::uint64_t round = ++m_round;
    const std::string voter = m_leader.get();
    const std::size_t size = m_pieceSize.value();
    peer::wire::PieceRequest request;
    request.set_vm(m_options.vm);
    request.set_checksum(m_transfer->checksum());
    request.set_offset(m_transfer->offset());
    request.set_max_bytes(size);
    const base::Millis sentAt = m_clock.now();
    m_peers.find(voter)->call(request, m_options.timeout, [this, round](std::optional<peer::wire::PieceReply> reply) {
        static_cast<void>(m_pieces.push(PieceAnswer{round, std::move(reply)}));
    });
    while (auto answer = m_pieces.pop(m_options.timeout * 2)) {
        if (answer->round != round) {
            continue;
        }
        const base::Millis elapsed = m_clock.now() - sentAt;
        if (!answer->reply) {
            m_pieceSize.onTimeout();
            noteUnanswered(voter, elapsed);
        } else if (answer->reply->piece().data().size() == size) {
            m_pieceSize.onArrived(elapsed);
        }
        return std::move(answer->reply);
    }
    return std::nullopt;
}

void Freshness::askVoters()
{
    const auto held = m_inForce.current();
    if (!held) {
        return;
    }
    const std::uint64_t round = ++m_round;
    const base::Millis sentAt = m_clock.now();
    peer::wire::WitnessRequest request;
    request.set_vm(m_options.vm);
    const std::vector<std::string> voters = m_peers.names();
    for (const std::string &voter : voters) {
        m_peers.find(voter)->call(
            request, m_options.timeout, [this, round, voter](std::optional<peer::wire::WitnessReply> reply) {
                VoterAnswer answer{round, std::nullopt};
                if (reply) {
                    answer.answer = WitnessAnswer{voter, *std::move(reply)};
                }
                static_cast<void>(m_testimonies.push(std::move(answer)));
            });
    }
    std::vector<WitnessAnswer> answers;
    std::size_t replies = 0;
    while (replies < voters.size()) {
        auto answer = m_testimonies.pop(m_options.timeout * 2);
        if (!answer) {
            return;
        }
        if (answer->round != round) {
            continue;
        }
        ++replies;
        if (answer->answer) {
            answers.push_back(*std::move(answer->answer));
        }
        if (confirmsVersion(answers, held->version)) {
            m_inForce.extend(held->version, sentAt + m_options.lease);
            return;
        }
    }
}

void Freshness::watchLease()
{
    const bool fresh = m_clock.now() < m_inForce.freshUntil();
    if (fresh != m_wasFresh) {
        m_wasFresh = fresh;
        LOG(INFO) << (fresh ? "event=fresh" : "event=not_fresh");
    }
}

} // namespace bamboomoor::entry
