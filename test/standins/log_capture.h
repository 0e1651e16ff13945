#pragma once

#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <sstream>

#include "limpetpier/transport/events.h"

namespace limpetpier::standins {

// Collects the log lines of this process during its lifetime. Afterwards nothing is logged.
class log_capture {
public:
    log_capture()
    {
        constexpr std::uint32_t unlimited = 1'000'000'000;
        startLog("test", { unlimited, unlimited });
        auto core = boost::log::core::get();
        core->remove_all_sinks(); // that of startLog() writes to standard output
        auto backend = boost::make_shared<boost::log::sinks::text_ostream_backend>();
        backend->add_stream(m_stream);
        core->add_sink(boost::make_shared<boost::log::sinks::synchronous_sink<boost::log::sinks::text_ostream_backend>>(backend));
        core->set_logging_enabled(true);
    }

    ~log_capture()
    {
        boost::log::core::get()->set_logging_enabled(false);
        boost::log::core::get()->remove_all_sinks();
    }

    log_capture(const log_capture&) = delete;
    log_capture& operator=(const log_capture&) = delete;

    [[nodiscard]] std::string text() const { return m_stream->str(); }

private:
    boost::shared_ptr<std::ostringstream> m_stream = boost::make_shared<std::ostringstream>();
};

} // namespace limpetpier::standins
