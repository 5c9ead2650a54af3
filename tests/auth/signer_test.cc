#include "gcw/auth/signer.h"

#include <catch2/catch.hpp>
#include <string_view>

#include "gcw/auth/replay_window.h"

namespace gcw::auth {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'800'000'000);

SigningKey Key(std::uint8_t id, char fill) {
  return SigningKey{id, std::string(32, fill)};
}

std::shared_ptr<Signer> MakeSigner(std::string_view name,
                                   SigningKey current,
                                   std::optional<SigningKey> other = {},
                                   absl::Time start = kStart) {
  auto signer = Signer::Make(name, std::move(current), std::move(other), start);
  REQUIRE(signer.ok());
  return signer.value();
}

std::vector<std::uint8_t> Bytes(std::string_view text) {
  return {text.begin(), text.end()};
}

TEST_CASE("a signed message verifies and carries its sender id") {
  auto a = MakeSigner("a", Key(1, 'x'));
  auto b = MakeSigner("b", Key(1, 'x'));
  const auto payload = Bytes("hello");
  const auto message = a->Sign(Channel::kControl, payload, kStart);
  CHECK(message.size() == payload.size() + kSignedOverheadBytes);
  auto verified = b->Verify(Channel::kControl, message);
  REQUIRE(verified.ok());
  CHECK(verified.value().sender == SenderIdOf("a"));
  CHECK(verified.value().sent == kStart);
  CHECK(std::ranges::equal(verified.value().payload, payload));
}

TEST_CASE("a message with a flipped bit or missing bytes is refused") {
  auto a = MakeSigner("a", Key(1, 'x'));
  const auto message = a->Sign(Channel::kControl, Bytes("route"), kStart);
  for (std::size_t bit = 0; bit < message.size() * 8; ++bit) {
    auto changed = message;
    changed[bit / 8] ^= static_cast<std::uint8_t>(1 << (bit % 8));
    REQUIRE_FALSE(a->Verify(Channel::kControl, changed).ok());
  }
  for (std::size_t length = 0; length < message.size(); ++length) {
    const std::span<const std::uint8_t> cut(message.data(), length);
    REQUIRE_FALSE(a->Verify(Channel::kControl, cut).ok());
  }
}

TEST_CASE("a message signed for one channel does not verify on another") {
  auto a = MakeSigner("a", Key(1, 'x'));
  const auto message = a->Sign(Channel::kMembership, Bytes("m"), kStart);
  auto verified = a->Verify(Channel::kControl, message);
  REQUIRE_FALSE(verified.ok());
  CHECK(verified.error().code == ResultCode::kBadSignature);
}

TEST_CASE("keys can be rotated without downtime") {
  const auto old_key = Key(1, 'x');
  const auto new_key = Key(2, 'y');
  auto before = MakeSigner("a", old_key);
  auto prepared = MakeSigner("b", old_key, new_key);
  auto switched = MakeSigner("c", new_key, old_key);
  auto after = MakeSigner("d", new_key);
  const auto m = Bytes("m");
  const auto ok = [&](Signer& from, Signer& to) {
    return to.Verify(Channel::kPeer, from.Sign(Channel::kPeer, m, kStart)).ok();
  };
  // Daemons at one step of the rotation can exchange messages with daemons at
  // the step before and after it.
  CHECK(ok(*before, *prepared));
  CHECK(ok(*prepared, *before));
  CHECK(ok(*prepared, *switched));
  CHECK(ok(*switched, *prepared));
  CHECK(ok(*switched, *after));
  CHECK(ok(*after, *switched));
  CHECK_FALSE(ok(*before, *after));
}

TEST_CASE("short secrets and equal key numbers are refused") {
  CHECK_FALSE(Signer::Make("a", SigningKey{1, "short"}, {}, kStart).ok());
  CHECK_FALSE(Signer::Make("a", Key(1, 'x'), Key(1, 'y'), kStart).ok());
}

TEST_CASE("the replay window accepts each sequence number once, in any order") {
  auto a = MakeSigner("a", Key(1, 'x'));
  ReplayWindow window;
  std::vector<std::vector<std::uint8_t>> messages;
  for (int i = 0; i < 3000; ++i) {
    messages.push_back(a->Sign(Channel::kPeer, Bytes("m"), kStart));
  }
  const auto accept = [&](std::size_t i) {
    auto verified = a->Verify(Channel::kPeer, messages[i]);
    REQUIRE(verified.ok());
    return window.Accept(verified.value(), kStart).ok();
  };
  CHECK(accept(5));
  CHECK_FALSE(accept(5));
  CHECK(accept(2));
  CHECK(accept(900));
  CHECK(accept(6));
  CHECK_FALSE(accept(2));
  // Message 2,999 moves the window of 1,024 numbers past message 1,975.
  CHECK(accept(2999));
  CHECK_FALSE(accept(1975));
  CHECK(accept(1976));
  CHECK_FALSE(accept(900));
  CHECK(window.refused_messages() == 4);
}

// A delayed message is refused if the sequence numbers have advanced by the
// size of the window since. If the channels shared one counter, 5,000 relayed
// packets would make a delayed membership message too old.
TEST_CASE("messages on a busy channel do not make those of another too old") {
  auto a = MakeSigner("a", Key(1, 'x'));
  ReplayWindow window;
  const auto late = a->Sign(Channel::kMembership, Bytes("late"), kStart);
  for (int i = 0; i < 5000; ++i) {
    (void)a->Sign(Channel::kRelay, Bytes("m"), kStart);
  }
  const auto next = a->Sign(Channel::kMembership, Bytes("next"), kStart);
  for (const auto& message : {next, late}) {
    auto verified = a->Verify(Channel::kMembership, message);
    CHECK(window.Accept(verified.value(), kStart).ok());
  }
}

// Sequence numbers 100 and 1,124 use the same bit of the window. If a jump to
// 1,129 did not clear the bits of the skipped numbers, 1,124 would be refused
// as a replay of 100.
TEST_CASE(
    "a sequence number that shares its bit with an older one is accepted") {
  auto a = MakeSigner("a", Key(1, 'x'));
  ReplayWindow window;
  VerifiedMessage message{SenderIdOf("a"), kStart, 100, {}};
  CHECK(window.Accept(message, kStart).ok());
  message.sequence = 100 + 1024 - 1;
  CHECK(window.Accept(message, kStart).ok());
  message.sequence = 100 + 1024 + 5;
  CHECK(window.Accept(message, kStart).ok());
  message.sequence = 100 + 1024;
  CHECK(window.Accept(message, kStart).ok());
  CHECK_FALSE(window.Accept(message, kStart).ok());
}

TEST_CASE("a restarted receiver refuses messages older than the maximum skew") {
  auto a = MakeSigner("a", Key(1, 'x'));
  const auto message = a->Sign(Channel::kPeer, Bytes("m"), kStart);
  auto verified = a->Verify(Channel::kPeer, message);
  REQUIRE(verified.ok());
  ReplayWindow fresh;
  const auto later = kStart + absl::Seconds(61);
  CHECK_FALSE(fresh.Accept(verified.value(), later).ok());
  CHECK(fresh.Accept(verified.value(), kStart + absl::Seconds(59)).ok());
}

// The sequence numbers of a restarted sender must continue above those of its
// earlier process. Otherwise receivers would refuse its messages as replays.
TEST_CASE("messages of a restarted sender are accepted at once") {
  ReplayWindow window;
  auto first = MakeSigner("a", Key(1, 'x'));
  for (int i = 0; i < 10; ++i) {
    const auto m = first->Sign(Channel::kPeer, Bytes("m"), kStart);
    CHECK(window.Accept(first->Verify(Channel::kPeer, m).value(), kStart).ok());
  }
  const auto later = kStart + absl::Milliseconds(1);
  auto second = MakeSigner("a", Key(1, 'x'), {}, later);
  const auto m = second->Sign(Channel::kPeer, Bytes("m"), later);
  CHECK(window.Accept(second->Verify(Channel::kPeer, m).value(), later).ok());
}

TEST_CASE("the replay window evicts the sender heard from least recently") {
  ReplayWindow::Options options;
  options.max_senders = 8;
  ReplayWindow window(options);
  for (std::uint64_t sender = 0; sender < 100; ++sender) {
    const auto now = kStart + absl::Milliseconds(sender);
    CHECK(window.Accept(VerifiedMessage{sender, now, 1, {}}, now).ok());
  }
  // The most recent sender is still in the window, so its message is a replay.
  const auto now = kStart + absl::Milliseconds(100);
  CHECK_FALSE(window.Accept(VerifiedMessage{99, now, 1, {}}, now).ok());
}

}  // namespace
}  // namespace gcw::auth
