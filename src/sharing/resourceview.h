#pragma once

// What the views of the store's resources have in common.

#include "core/clock.h"
#include "core/storeposition.h"

namespace hornbeam {

/** An instance's copy of one resource of the store. Not thread safe: one event loop owns it. */
class ResourceView
{
public:
    virtual ~ResourceView() = default;
    virtual bool isLoaded() const = 0;
    /** The store's position up to which the copy is complete; not set before the first update. */
    virtual StorePosition position() const = 0;
    /** The start time of the latest store request that the copy reflects; TimePoint{} before the first update. */
    virtual TimePoint confirmedAt() const = 0;
};

} // namespace hornbeam
