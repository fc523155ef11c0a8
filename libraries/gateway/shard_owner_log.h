#ifndef PARSLEYQUAY_GATEWAY_SHARD_OWNER_LOG_H_
#define PARSLEYQUAY_GATEWAY_SHARD_OWNER_LOG_H_

#include <cstddef>
#include <map>

namespace parsleyquay {

// Whether the owner of a shard decides on the token requests of this instance.
enum class ShardOwnerState {
  kReached,
  kUnknown,   // no live instance states that it owns the shard
  kSilent,    // the owner does not reply
  kDeclined,  // the owner replies that it grants no tokens of the shard
};

// Logs why requests of a shard's workspaces are decided by the fallback quota,
// when the reason changes.
class ShardOwnerLog {
 public:
  // `claims` is the number of other live instances that claim the shard.
  void Record(long shard, ShardOwnerState state, std::size_t claims);

 private:
  // The shards whose owner did not decide on the last token request.
  std::map<long, ShardOwnerState> unreached;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_SHARD_OWNER_LOG_H_
