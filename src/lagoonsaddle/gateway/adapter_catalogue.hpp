#ifndef LAGOONSADDLE_GATEWAY_ADAPTER_CATALOGUE_HPP
#define LAGOONSADDLE_GATEWAY_ADAPTER_CATALOGUE_HPP

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <lagoonsaddle/platform/config_store.hpp>

namespace lagoonsaddle::gateway {

/*! @brief Name prefix of catalogue configuration objects, followed by the base model. */
inline constexpr std::string_view catalogue_prefix{"catalogue-"};

/*! @brief Result of `adapter_catalogue::lookup`. */
enum class catalogue_lookup {
    found,
    /*! @brief The base model has a catalogue that does not list the adapter or the version. */
    not_found,
    /*! @brief The base model has no catalogue, so only an engine can determine whether the adapter exists. */
    no_catalogue
};

/*! @brief Existing adapters and their versions, by base model. Thread-safe. */
class adapter_catalogue {
public:
    /**
     * @brief Replaces the catalogue of a base model. A document that is not a JSON object is logged and ignored.
     * @param document Configuration `catalogue-{base}`: a JSON object that maps each adapter to an array of its
     * versions. Documents with other names are ignored.
     */
    void apply(const platform::config_document& document);

    /**
     * @brief Looks up an adapter.
     * @param base_model Base model.
     * @param adapter Adapter.
     * @param version Version, or empty to match any version.
     * @return Whether the catalogue lists it.
     */
    [[nodiscard]] catalogue_lookup lookup(
        std::string_view base_model, const std::string& adapter, std::string_view version) const;

    /*! @brief Returns the number of adapters of each base model. */
    [[nodiscard]] std::map<std::string, std::size_t> adapter_counts() const;

private:
    using versions_by_adapter = std::unordered_map<std::string, std::vector<std::string>>;

    mutable std::mutex mutex{};
    std::map<std::string, std::shared_ptr<const versions_by_adapter>, std::less<>> adapters_by_model{};
};

} // namespace lagoonsaddle::gateway

#endif
