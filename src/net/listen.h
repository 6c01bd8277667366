// Opens a listening port.
#pragma once

#include "arbutuspier/result.h"
#include "net/asiotypes.h"
#include "settings/settings.h"

#include <memory>
#include <string_view>

namespace arbutuspier {

/// Listens on an address; `setting` names it in the error.
Result<std::unique_ptr<Tcp::acceptor>> openAcceptor(asio::io_context &context,
                                                    const Address &address,
                                                    std::string_view setting);

} // namespace arbutuspier
