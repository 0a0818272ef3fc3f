#include "feeds/feed.h"

#include "peer/directory.h"

#include <algorithm>

namespace hornbeam {

uint64_t FeedKey::flow() const
{
    return flowKey(this->service, this->caller);
}

FeedKey makeFeedKey(ServiceId service, const Endpoint &caller, const Bytes &token)
{
    FeedKey key;
    key.caller = caller;
    key.service = service;
    key.tokenBytes = static_cast<uint8_t>(std::min(token.size(), maxTokenBytes));
    std::copy_n(token.begin(), key.tokenBytes, key.tokenValue.begin());
    return key;
}

} // namespace hornbeam
