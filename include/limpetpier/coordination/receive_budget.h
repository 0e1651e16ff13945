#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace limpetpier {

// Limits the bytes of incomplete replies that the connections of a process hold in total. When the limit is exceeded, the
// connection that holds most must give its reply up: a peer that sends without end loses its own replies, not those of
// others.
class receive_budget {
public:
    explicit receive_budget(std::size_t limit)
        : m_limit(limit)
    {
    }

    // The part of one connection.
    class account {
    public:
        // onRevoked is called when the connection must give up its reply, also within add() of another account. It must
        // not destroy an account.
        account(std::shared_ptr<receive_budget> budget, std::function<void()> onRevoked);
        ~account();
        account(const account&) = delete;
        account& operator=(const account&) = delete;

        // Records received bytes.
        void add(std::size_t bytes);

        // Releases all bytes, at the end of an exchange.
        void clear();

    private:
        friend class receive_budget;
        std::shared_ptr<receive_budget> m_budget;
        std::function<void()> m_onRevoked;
        std::size_t m_bytes = 0;
        bool m_revoked = false; // until clear()
    };

    // Bytes held by all accounts that were not revoked.
    [[nodiscard]] std::size_t used() const { return m_used; }

private:
    void revokeLargest();

    std::size_t m_limit;
    std::size_t m_used = 0;
    std::vector<account*> m_accounts;
};

} // namespace limpetpier
