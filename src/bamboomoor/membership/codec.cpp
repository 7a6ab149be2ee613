/**
 * Implements the JSON encoding of announcements and deltas.
 */
#include "bamboomoor/membership/codec.hpp"

#include "bamboomoor/base/json.hpp"
#include "bamboomoor/membership/internal/reader.hpp"

#include <nlohmann/json.hpp>

namespace bamboomoor::membership
{

namespace
{
using internal::Reader;
using nlohmann::json;

json toJson(const Resident &resident)
{
    return {{"model", resident.model}, {"adapter", resident.adapter}, {"version", resident.version},
        {"memory_mib", resident.memoryMib}};
}

json toJson(const Accelerator &accelerator)
{
    json resident = json::array();
    for (const Resident &it : accelerator.resident) {
        resident.push_back(toJson(it));
    }
    return {{"id", accelerator.id}, {"memory_mib", accelerator.memoryMib}, {"resident", std::move(resident)}};
}

json toJson(const Load &load)
{
    return {{"running", load.running}, {"queued", load.queued}, {"waiting_tokens", load.waitingTokens}};
}

json toJson(const Announcement &announcement)
{
    json accelerators = json::array();
    for (const Accelerator &it : announcement.accelerators) {
        accelerators.push_back(toJson(it));
    }
    json orders = json::array();
    for (const OrderOutcome &it : announcement.lastOrders) {
        orders.push_back({{"order_id", it.orderId}, {"outcome", ORDER_RESULT_NAMES.name(it.outcome)}});
    }
    json out = {{"id", announcement.id}, {"incarnation", announcement.incarnation}, {"sequence", announcement.sequence},
        {"address", announcement.address}, {"data_centre", announcement.dataCentre},
        {"kind", UPSTREAM_KIND_NAMES.name(announcement.kind)}, {"service", announcement.service},
        {"accelerators", std::move(accelerators)}, {"checks_fencing", announcement.checksFencing},
        {"load", toJson(announcement.load)}, {"leaving", announcement.leaving}, {"orders", std::move(orders)}};
    if (!announcement.softwareVersion.empty()) {
        out["software_version"] = announcement.softwareVersion;
    }
    if (announcement.slots > 0) {
        out["slots"] = announcement.slots;
    }
    if (announcement.coldRemaining > base::Millis{}) {
        out["cold_ms"] = announcement.coldRemaining.count;
    }
    if (!announcement.localCopies.empty()) {
        out["local_copies"] = announcement.localCopies;
    }
    return out;
}

Resident readResident(Reader &reader)
{
    Resident resident;
    resident.model = reader.name("model");
    resident.adapter = reader.text("adapter");
    resident.version = reader.text("version");
    resident.memoryMib = reader.number("memory_mib");
    return resident;
}

Accelerator readAccelerator(Reader &reader)
{
    Accelerator accelerator;
    accelerator.id = reader.name("id");
    accelerator.memoryMib = reader.number("memory_mib");
    accelerator.resident = reader.list<Resident>("resident", readResident);
    return accelerator;
}

OrderOutcome readOutcome(Reader &reader)
{
    OrderOutcome outcome;
    outcome.orderId = reader.name("order_id");
    outcome.outcome = reader.value("outcome", ORDER_RESULT_NAMES);
    return outcome;
}

Load readLoad(Reader &reader)
{
    Load load;
    load.running = reader.number("running");
    load.queued = reader.number("queued");
    load.waitingTokens = reader.number("waiting_tokens");
    return load;
}

Announcement readAnnouncement(Reader &reader)
{
    Announcement announcement;
    announcement.id = reader.name("id");
    announcement.incarnation = reader.number("incarnation");
    announcement.sequence = reader.number("sequence");
    announcement.address = reader.address("address");
    announcement.dataCentre = reader.name("data_centre");
    announcement.kind = reader.value("kind", UPSTREAM_KIND_NAMES);
    // Each kind may omit the field that only the other kind uses.
    const bool isService = announcement.kind == UpstreamKind::Service;
    if (isService || reader.has("service")) {
        announcement.service = isService ? reader.name("service") : reader.text("service");
    }
    if (!isService || reader.has("accelerators")) {
        announcement.accelerators = reader.list<Accelerator>("accelerators", readAccelerator);
    }
    announcement.checksFencing = reader.flag("checks_fencing");
    announcement.load = reader.object<Load>("load", readLoad);
    announcement.leaving = reader.flag("leaving");
    if (reader.has("orders")) {
        announcement.lastOrders = reader.list<OrderOutcome>("orders", readOutcome);
    }
    if (reader.has("software_version")) {
        announcement.softwareVersion = reader.text("software_version");
    }
    if (reader.has("slots")) {
        announcement.slots = reader.number("slots");
    }
    if (reader.has("cold_ms")) {
        announcement.coldRemaining = reader.millis("cold_ms");
    }
    if (reader.has("local_copies")) {
        announcement.localCopies = reader.names("local_copies");
    }
    return announcement;
}

DeltaEntry readEntry(Reader &reader)
{
    DeltaEntry entry;
    entry.announcement = reader.object<Announcement>("announcement", readAnnouncement);
    entry.remaining = reader.millis("remaining_ms");
    entry.loadAge = reader.millis("load_age_ms");
    return entry;
}

Renewal readRenewal(Reader &reader)
{
    Renewal renewal;
    renewal.id = reader.name("id");
    renewal.incarnation = reader.number("incarnation");
    renewal.sequence = reader.number("sequence");
    renewal.digest = reader.name("digest");
    renewal.load = reader.object<Load>("load", readLoad);
    renewal.remaining = reader.millis("remaining_ms");
    renewal.loadAge = reader.millis("load_age_ms");
    return renewal;
}

Removal readRemoval(Reader &reader)
{
    Removal removal;
    removal.id = reader.name("id");
    removal.incarnation = reader.number("incarnation");
    removal.leaving = reader.flag("leaving");
    return removal;
}

Delta readDelta(Reader &reader)
{
    Delta delta;
    delta.entries = reader.readableOf<DeltaEntry>("entries", readEntry, delta.unreadable);
    delta.renewals = reader.readableOf<Renewal>("renewals", readRenewal, delta.unreadable);
    delta.removed = reader.readableOf<Removal>("removed", readRemoval, delta.unreadable);
    delta.position.epoch = reader.number("epoch");
    delta.position.revision = reader.number("revision");
    return delta;
}

template<class Value>
base::Result<Value, ParseError> parseAs(std::string_view text, Value (*read)(Reader &))
{
    const json document = base::parseJson(text);
    if (document.is_discarded()) {
        return base::failure(ParseError{ParseErrorKind::NotJson, {}});
    }
    std::optional<ParseError> error;
    Reader reader(document, {}, error);
    Value value = read(reader);
    if (error) {
        return base::failure(std::move(*error));
    }
    return value;
}
} // namespace

std::string encode(const Announcement &announcement)
{
    return toJson(announcement).dump(-1, ' ', false, json::error_handler_t::replace);
}

base::Result<Announcement, ParseError> parse(std::string_view text)
{
    if (text.size() > MAX_ANNOUNCEMENT_BYTES) {
        return base::failure(ParseError{ParseErrorKind::BadValue, {}});
    }
    return parseAs<Announcement>(text, readAnnouncement);
}

base::Result<void, ParseError> check(const Announcement &announcement)
{
    BOOST_OUTCOME_TRY(read, parse(encode(announcement)));
    // Bytes that are no UTF-8 are replaced when they are encoded.
    if (read != announcement) {
        return base::failure(ParseError{ParseErrorKind::BadValue, {}});
    }
    return base::success();
}

std::string encodeDelta(const Delta &delta)
{
    json entries = json::array();
    for (const DeltaEntry &it : delta.entries) {
        entries.push_back({{"announcement", toJson(it.announcement)}, {"remaining_ms", it.remaining.count},
            {"load_age_ms", it.loadAge.count}});
    }
    json renewals = json::array();
    for (const Renewal &it : delta.renewals) {
        renewals.push_back(
            {{"id", it.id}, {"incarnation", it.incarnation}, {"sequence", it.sequence}, {"digest", it.digest},
                {"load", toJson(it.load)}, {"remaining_ms", it.remaining.count}, {"load_age_ms", it.loadAge.count}});
    }
    json removed = json::array();
    for (const Removal &it : delta.removed) {
        removed.push_back({{"id", it.id}, {"incarnation", it.incarnation}, {"leaving", it.leaving}});
    }
    const json document = {{"entries", std::move(entries)}, {"renewals", std::move(renewals)},
        {"removed", std::move(removed)}, {"epoch", delta.position.epoch}, {"revision", delta.position.revision}};
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

base::Result<Delta, ParseError> parseDelta(std::string_view text)
{
    return parseAs<Delta>(text, readDelta);
}

} // namespace bamboomoor::membership
