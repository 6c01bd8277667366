// Where network code leaves events for the control thread.
#pragma once

#include "arbutuspier/event.h"

namespace arbutuspier {

class EventSink
{
public:
    virtual ~EventSink() = default;
    /// Hands the event to the control thread. May be called from any thread.
    virtual void post(Event event) = 0;
};

} // namespace arbutuspier
