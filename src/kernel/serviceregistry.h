// The micro-kernel's registry: owns the services of the process and finds them by name and type.
#pragma once

#include <cassert>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace arbutuspier {

/// Owns services. They are added while the process is set up and only looked up afterwards.
class ServiceRegistry
{
public:
    /// Constructs and adds a service. No other service may have this name.
    template <class T, class... Args>
    T &add(std::string_view name, Args &&...args)
    {
        assert(!m_services.contains(name));
        auto service = std::make_unique<Holder<T>>(std::forward<Args>(args)...);
        T &added = service->value;
        m_services.emplace(std::string(name), Entry{typeTag<T>(), std::move(service)});
        return added;
    }

    /// Returns the service of that name, or null if there is none or it has another type.
    template <class T>
    T *find(std::string_view name) const
    {
        auto it = m_services.find(name);
        if (it == m_services.end() || it->second.type != typeTag<T>())
            return nullptr;
        return &static_cast<Holder<T> *>(it->second.service.get())->value;
    }

private:
    struct Base
    {
        virtual ~Base() = default;
    };
    template <class T>
    struct Holder final : Base
    {
        template <class... Args>
        explicit Holder(Args &&...args)
            : value(std::forward<Args>(args)...)
        {
        }
        T value;
    };
    struct Entry
    {
        const void *type;
        std::unique_ptr<Base> service;
    };

    /// Returns an address that is unique for the type, used in place of run-time type information.
    template <class T>
    static const void *typeTag()
    {
        static const char kTag = 0;
        return &kTag;
    }

    std::map<std::string, Entry, std::less<>> m_services;
};

} // namespace arbutuspier
