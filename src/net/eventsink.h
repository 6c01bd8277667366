// Interface through which network code passes events to the control thread.
#pragma once

#include "arbutuspier/event.h"

namespace arbutuspier {

class EventSink
{
public:
    virtual ~EventSink() = default;
    /// Queues the event for the control thread. May be called from any thread.
    virtual void post(Event event) = 0;
};

} // namespace arbutuspier
