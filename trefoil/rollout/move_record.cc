#include "trefoil/rollout/move_record.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <sstream>

namespace trefoil {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

Object::Ptr
StatisticsObject(const MoveStatistics& aStatistics)
{
  Object::Ptr object = new Object;
  object->set("new_requests", aStatistics.mNewRequests);
  object->set("new_errors", aStatistics.mNewErrors);
  object->set("old_requests", aStatistics.mOldRequests);
  object->set("old_errors", aStatistics.mOldErrors);
  object->set("route", aStatistics.mRoute);
  object->set("p_value", aStatistics.mPValue);
  object->set("effect", aStatistics.mEffect);
  return object;
}

MoveStatistics
ParseStatistics(const Object& aObject)
{
  return { .mNewRequests = aObject.getValue<std::uint64_t>("new_requests"),
           .mNewErrors = aObject.getValue<std::uint64_t>("new_errors"),
           .mOldRequests = aObject.getValue<std::uint64_t>("old_requests"),
           .mOldErrors = aObject.getValue<std::uint64_t>("old_errors"),
           .mRoute = aObject.getValue<std::string>("route"),
           .mPValue = aObject.getValue<double>("p_value"),
           .mEffect = aObject.getValue<double>("effect") };
}

Array::Ptr
SettledArray(const MoveRecord& aRecord)
{
  Array::Ptr settled = new Array;
  for (const VersionShare& share : aRecord.mSettled) {
    Object::Ptr object = new Object;
    object->set("version", share.mVersion.Value());
    object->set("permille", share.mPermille);
    settled->add(object);
  }
  return settled;
}

Array::Ptr
WithdrawnArray(const MoveRecord& aRecord)
{
  Array::Ptr withdrawn = new Array;
  for (const WithdrawnVersion& version : aRecord.mWithdrawn) {
    Object::Ptr object = new Object;
    object->set("version", version.mVersion.Value());
    object->set("spec_digest", std::to_string(version.mSpecDigest));
    withdrawn->add(object);
  }
  return withdrawn;
}

Array::Ptr
EndedArray(const MoveRecord& aRecord)
{
  Array::Ptr ended = new Array;
  for (const EndedMove& move : aRecord.mEnded) {
    Object::Ptr object = new Object;
    object->set("version", move.mVersion.Value());
    object->set("phase", std::string{ NameOf(kMovePhaseNames, move.mPhase) });
    object->set("reason", std::string{ NameOf(kMoveReasonNames, move.mReason) });
    object->set("document_revision", move.mDocumentRevision);
    object->set("started_at_ms", UnixMilliseconds(move.mStartedAt));
    object->set("ended_at_ms", UnixMilliseconds(move.mEndedAt));
    object->set("figures", StatisticsObject(move.mStatistics));
    ended->add(object);
  }
  return ended;
}

EndedMove
ParseEnded(const Object& aObject)
{
  return {
    .mVersion = VersionId{ aObject.getValue<std::string>("version") },
    .mPhase =
      ValueOf(kMovePhaseNames, aObject.getValue<std::string>("phase")).value_or(MovePhase::kDone),
    .mReason = ValueOf(kMoveReasonNames, aObject.getValue<std::string>("reason"))
                 .value_or(MoveReason::kNone),
    .mDocumentRevision = aObject.getValue<std::uint64_t>("document_revision"),
    .mStartedAt = FromUnixMilliseconds(aObject.getValue<std::int64_t>("started_at_ms")),
    .mEndedAt = FromUnixMilliseconds(aObject.getValue<std::int64_t>("ended_at_ms")),
    .mStatistics = ParseStatistics(*aObject.getObject("figures"))
  };
}

void
ParseLists(const Object& aObject, MoveRecord& aRecord)
{
  for (const auto& item : *aObject.getArray("settled")) {
    const auto& share = item.extract<Object::Ptr>();
    aRecord.mSettled.push_back({ .mVersion = VersionId{ share->getValue<std::string>("version") },
                                 .mPermille = share->getValue<int>("permille") });
  }
  for (const auto& item : *aObject.getArray("withdrawn")) {
    const auto& version = item.extract<Object::Ptr>();
    aRecord.mWithdrawn.push_back(
      { .mVersion = VersionId{ version->getValue<std::string>("version") },
        .mSpecDigest = version->getValue<std::uint64_t>("spec_digest") });
  }
  for (const auto& item : *aObject.getArray("ended")) {
    aRecord.mEnded.push_back(ParseEnded(*item.extract<Object::Ptr>()));
  }
}

MoveRecord
ParseFields(const Object& aObject)
{
  MoveRecord record{
    .mPhase =
      ValueOf(kMovePhaseNames, aObject.getValue<std::string>("phase")).value_or(MovePhase::kSteady),
    .mDocumentRevision = aObject.getValue<std::uint64_t>("document_revision"),
    .mVersion = VersionId{ aObject.getValue<std::string>("version") },
    .mSpecDigest = aObject.getValue<std::uint64_t>("spec_digest"),
    .mTargetPermille = aObject.getValue<int>("target_permille"),
    .mSharePermille = aObject.getValue<int>("share_permille"),
    .mStep = aObject.getValue<int>("step"),
    .mStops = aObject.getValue<int>("stops"),
    .mStartedAt = FromUnixMilliseconds(aObject.getValue<std::int64_t>("started_at_ms")),
    .mEndsAt = FromUnixMilliseconds(aObject.getValue<std::int64_t>("ends_at_ms")),
    .mReason = ValueOf(kMoveReasonNames, aObject.getValue<std::string>("reason"))
                 .value_or(MoveReason::kNone),
    .mStatistics = ParseStatistics(*aObject.getObject("figures")),
  };
  ParseLists(aObject, record);
  return record;
}

} // namespace

std::string
MoveKey(const ServiceId& aService)
{
  return "moves/" + aService.Value();
}

std::string
RenderMoveRecord(const MoveRecord& aRecord)
{
  Object object;
  object.set("phase", std::string{ NameOf(kMovePhaseNames, aRecord.mPhase) });
  object.set("document_revision", aRecord.mDocumentRevision);
  object.set("version", aRecord.mVersion.Value());
  object.set("spec_digest", std::to_string(aRecord.mSpecDigest));
  object.set("target_permille", aRecord.mTargetPermille);
  object.set("share_permille", aRecord.mSharePermille);
  object.set("step", aRecord.mStep);
  object.set("stops", aRecord.mStops);
  object.set("started_at_ms", UnixMilliseconds(aRecord.mStartedAt));
  object.set("ends_at_ms", UnixMilliseconds(aRecord.mEndsAt));
  object.set("reason", std::string{ NameOf(kMoveReasonNames, aRecord.mReason) });
  object.set("figures", StatisticsObject(aRecord.mStatistics));
  object.set("settled", SettledArray(aRecord));
  object.set("withdrawn", WithdrawnArray(aRecord));
  object.set("ended", EndedArray(aRecord));
  std::ostringstream text;
  object.stringify(text);
  return text.str();
}

absl::StatusOr<MoveRecord>
ParseMoveRecord(const std::string& aText)
{
  try {
    const auto object = Poco::JSON::Parser{}.parse(aText).extract<Object::Ptr>();
    for (const char* field : { "figures", "settled", "withdrawn", "ended" }) {
      if (object->isNull(field)) {
        return absl::DataLossError("the move record is missing a field");
      }
    }
    return ParseFields(*object);
  } catch (const Poco::Exception& error) {
    return absl::DataLossError(error.displayText());
  }
}

std::vector<VersionShare>
TrafficShares(const std::vector<VersionShare>& aSettled, const VersionId& aVersion, int aPermille)
{
  std::vector<VersionShare> shares;
  for (const VersionShare& settled : aSettled) {
    if (settled.mVersion != aVersion) {
      shares.push_back(
        { .mVersion = settled.mVersion,
          .mPermille = settled.mPermille * (kWholePermille - aPermille) / kWholePermille });
    }
  }
  if (aPermille > 0) {
    shares.push_back({ .mVersion = aVersion, .mPermille = aPermille });
  }
  return shares;
}

} // namespace trefoil
