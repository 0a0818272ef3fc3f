#include "table/servicetable.h"

#include <algorithm>

namespace hornbeam {

const TargetRow *ServiceTable::find(TargetId target) const
{
    const auto row = std::find_if(this->rows.begin(), this->rows.end(), [target](const TargetRow &candidate) { return candidate.id == target; });
    return row == this->rows.end() ? nullptr : &*row;
}

const TargetRow *ServiceTable::findEndpoint(const Endpoint &endpoint) const
{
    const auto row = std::find_if(this->rows.begin(), this->rows.end(), [&endpoint](const TargetRow &candidate) { return candidate.endpoint == endpoint; });
    return row == this->rows.end() ? nullptr : &*row;
}

} // namespace hornbeam
