#pragma once

/// \file
/// \brief Includes the headers of the transport library.

#include "greengagehub/transport/body_assembler.hpp"
#include "greengagehub/transport/bulk_channel.hpp"
#include "greengagehub/transport/bulk_message.hpp"
#include "greengagehub/transport/codec.hpp"
#include "greengagehub/transport/frame_body.hpp"
#include "greengagehub/transport/gossip_socket.hpp"
#include "greengagehub/transport/link_connection.hpp"
#include "greengagehub/transport/link_frame.hpp"
#include "greengagehub/transport/link_pool.hpp"
#include "greengagehub/transport/link_server.hpp"
#include "greengagehub/transport/traffic_meter.hpp"
