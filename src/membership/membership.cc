#include "gcw/membership/membership.h"

#include <algorithm>
#include <utility>

#include "src/membership/membership_state.h"

namespace gcw::membership {
namespace {

Error FieldError(std::string field, std::string message) {
  return Error{ResultCode::kInvalidField, std::move(field), std::move(message)};
}

bool IsValidName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::all_of(name.begin(), name.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

Status CheckOptions(const Options& options) {
  if (!IsValidName(options.name)) {
    return FieldError("name", "must be 1 to 64 visible ASCII characters");
  }
  if (!IsValidName(options.zone)) {
    return FieldError("zone", "must be 1 to 64 visible ASCII characters");
  }
  if (options.advertise.ip == 0 || options.advertise.port == 0) {
    return FieldError("advertise", "address and port must not be zero");
  }
  if (options.cross_zone_every == 0) {
    return FieldError("cross_zone_every", "must not be zero");
  }
  return OkStatus();
}

}  // namespace

std::string_view ToString(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeft:
      return "left";
  }
  return "unknown";
}

std::string_view ToString(EventType type) {
  switch (type) {
    case EventType::kJoined:
      return "joined";
    case EventType::kRestarted:
      return "restarted";
    case EventType::kSuspected:
      return "suspected";
    case EventType::kRecovered:
      return "recovered";
    case EventType::kDied:
      return "died";
    case EventType::kLeft:
      return "left";
    case EventType::kLeaving:
      return "is leaving";
  }
  return "unknown";
}

Result<std::unique_ptr<Membership>> Membership::Make(
    const Options& options,
    absl::Time start,
    std::uint64_t random_seed) {
  if (Status status = CheckOptions(options); !status.ok()) {
    return status.error();
  }
  auto state = std::make_unique<State>(options, random_seed);
  state->self.name = options.name;
  state->self.zone = options.zone;
  state->self.address = options.advertise;
  const auto millis = static_cast<std::uint64_t>(
      std::max<std::int64_t>(absl::ToUnixMillis(start), 1));
  state->self.incarnation = millis << kRefutationBits;
  // The first nonce is random, so that the nonces of different processes do not
  // collide in the relayed pings of a member that probes on their behalf.
  state->last_nonce = state->random() >> 32;
  return std::unique_ptr<Membership>(new Membership(std::move(state)));
}

Membership::Membership(std::unique_ptr<State> state)
    : state_(std::move(state)) {}
Membership::~Membership() = default;

void Membership::SetSettingsSeeds(std::span<const Seed> seeds) {
  state_->settings_seeds.assign(seeds.begin(), seeds.end());
}

void Membership::SetPlatformSeeds(std::span<const Seed> seeds) {
  state_->platform_seeds.assign(seeds.begin(), seeds.end());
}

void Membership::SetRevision(std::uint64_t revision) {
  state_->revision_update_pending |= revision > state_->self.revision;
  state_->self.revision = revision;
}

void Membership::SetPayload(std::span<const std::uint8_t> payload) {
  const auto kept = payload.first(std::min(payload.size(), kMaxPayloadBytes));
  state_->payload.assign(kept.begin(), kept.end());
}

Actions Membership::OnTick(absl::Time now) {
  Actions actions;
  state_->Tick(now, actions);
  return actions;
}

Actions Membership::OnMessage(const Endpoint& /*from*/,
                              const Message& message,
                              absl::Time now) {
  Actions actions;
  state_->Receive(message, now, actions);
  return actions;
}

void Membership::BeginLeave() {
  state_->BeginLeave();
}

Actions Membership::Leave(absl::Time now) {
  Actions actions;
  state_->Leave(now, actions);
  return actions;
}

std::vector<Member> Membership::members() const {
  return state_->table.AllMembers();
}

std::optional<Member> Membership::Find(std::string_view name) const {
  const Member* member = state_->table.Find(name);
  return member == nullptr ? std::nullopt : std::optional(*member);
}

std::size_t Membership::live_count() const {
  return state_->table.live_count();
}

Member Membership::self() const {
  return state_->self;
}

}  // namespace gcw::membership
