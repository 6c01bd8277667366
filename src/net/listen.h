// Opens listening ports.
#pragma once

#include "arbutuspier/result.h"
#include "net/asiotypes.h"
#include "settings/settings.h"

#include <memory>
#include <string_view>

namespace arbutuspier {

/// Opens an acceptor that listens on `address`. An error names `settingName`, from which the
/// address came.
Result<std::unique_ptr<Tcp::acceptor>> openAcceptor(asio::io_context &context,
                                                    const Address &address,
                                                    std::string_view settingName);

} // namespace arbutuspier
