#ifndef LAGOONSADDLE_UPSTREAM_DESCRIPTION_HPP
#define LAGOONSADDLE_UPSTREAM_DESCRIPTION_HPP

#include <string>

#include <lagoonsaddle/core/endpoint.hpp>

namespace lagoonsaddle::upstream {

enum class kind : unsigned char {
    /*! @brief Model engine with adapter slots. */
    engine,
    /*! @brief Plain service without adapters. */
    service,
    /*! @brief Weight store; its owner schedules adapter loads and sends it no requests. */
    weight_store
};

/*! @brief Properties of an upstream, from the settings or the VM list. */
struct description {
    std::string name{};
    upstream::kind kind{kind::engine};
    core::endpoint endpoint{};
    std::string availability_zone{};
    /*! @brief Name of the plain service; empty for engines. */
    std::string service{};
    /*! @brief Base model of an engine; empty for services. */
    std::string base_model{};
    /*! @brief Whether the upstream rejects orders with an outdated fencing token. */
    bool checks_fencing_token{};
    /*! @brief Whether the VM list reports the VM as leaving. */
    bool leaving{};

    friend bool operator==(const description&, const description&) = default;
};

} // namespace lagoonsaddle::upstream

#endif
