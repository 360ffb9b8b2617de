//! The accounts of all customers that this limiter knows.

use super::account::Account;
use crate::model::plan::Plan;
use std::collections::HashMap;
use std::ops::{Index, IndexMut};
use std::time::Duration;

/// Index of an account in the table; reused for another customer once the account has expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AccountIndex(pub usize);

/// An account that has changes to report.
#[derive(Clone, Copy, Debug)]
pub struct DirtyAccount {
    /// Fraction of its token bucket's capacity that is left; negative where the bucket is overdrawn.
    pub remaining_fraction: f64,
    /// Index of the account.
    pub account: AccountIndex,
}

/// Accounts by index, with a lookup by customer and a list of those that may have something to report.
pub struct QuotaTable {
    /// All accounts; a free index holds a default account.
    pub accounts: Vec<Account>,
    free: Vec<AccountIndex>,
    /// Index of each customer's account.
    pub by_customer: HashMap<u64, AccountIndex>,
    /// Accounts that may have something to report, each listed once.
    pub dirty: Vec<AccountIndex>,
    /// Time over which new accounts measure demand.
    demand_window: Duration,
    /// Maximum number of accounts.
    pub max_accounts: usize,
    /// When accounts were last dropped early because the table was full.
    pub last_early_drop: Option<Duration>,
}

impl Index<AccountIndex> for QuotaTable {
    type Output = Account;

    fn index(&self, index: AccountIndex) -> &Account {
        &self.accounts[index.0]
    }
}

impl IndexMut<AccountIndex> for QuotaTable {
    fn index_mut(&mut self, index: AccountIndex) -> &mut Account {
        &mut self.accounts[index.0]
    }
}

impl QuotaTable {
    /// An empty table for any number of accounts, which measure demand over `demand_window`.
    pub fn new(demand_window: Duration) -> QuotaTable {
        QuotaTable {
            accounts: Vec::new(),
            free: Vec::new(),
            by_customer: HashMap::new(),
            dirty: Vec::new(),
            demand_window,
            max_accounts: usize::MAX,
            last_early_drop: None,
        }
    }

    /// Whether there is no room for an account of this customer, which has none yet.
    pub fn is_full_for(&self, customer: u64) -> bool {
        self.by_customer.len() >= self.max_accounts && !self.by_customer.contains_key(&customer)
    }

    /// Index of a customer's account, which is marked dirty. Creates an account of the given plan if there is none; `None`
    /// if there is no room for it.
    pub fn find_or_create(
        &mut self,
        now: Duration,
        customer: u64,
        plan_index: usize,
        plans: &[Plan],
    ) -> Option<AccountIndex> {
        if self.is_full_for(customer) {
            return None;
        }
        let index = if let Some(&index) = self.by_customer.get(&customer) {
            index
        } else {
            let plan = &plans[plan_index];
            let account = Account::new(customer, plan_index, plan, now, self.demand_window);
            self.insert(account)
        };
        self.mark_dirty(index);
        Some(index)
    }

    fn insert(&mut self, account: Account) -> AccountIndex {
        let index = self.free.pop().unwrap_or(AccountIndex(self.accounts.len()));
        self.by_customer.insert(account.customer, index);
        if index.0 < self.accounts.len() {
            self[index] = account;
        } else {
            self.accounts.push(account);
        }
        index
    }

    /// Lists an account as one that may have something to report, and restarts its count of idle checks.
    pub fn mark_dirty(&mut self, index: AccountIndex) {
        let account = &mut self[index];
        account.idle_checks = 0;
        if !std::mem::replace(&mut account.replication.dirty, true) {
            self.dirty.push(index);
        }
    }

    /// Removes the expired accounts. `is_expired` is called once for each account that is not in use.
    pub fn remove_expired(
        &mut self,
        plans: &[Plan],
        in_use: impl Iterator<Item = AccountIndex>,
        mut is_expired: impl FnMut(&mut Account, &Plan) -> bool,
    ) {
        let mut keep = vec![false; self.accounts.len()];
        for index in in_use.chain(self.free.iter().copied()) {
            keep[index.0] = true;
        }
        for (index, account) in self.accounts.iter_mut().enumerate() {
            if !keep[index] && is_expired(account, &plans[account.plan]) {
                self.by_customer.remove(&account.customer);
                *account = Account::default();
                self.free.push(AccountIndex(index));
            }
        }
        // A free index is marked dirty again for its next customer.
        let accounts = &self.accounts;
        self.dirty
            .retain(|index| accounts[index.0].replication.dirty);
    }
}
