//! Loans: who is asked, and what is lent.

use monsooncart_types::{instance, time};

use super::Ledger;
use crate::allowance::{Limit, MAX_LENDERS, Organisation, loan};
use crate::rank;

impl Ledger {
    /// Daemons that may have tokens of an organisation.
    pub(super) fn lenders(&self, organisation: Organisation) -> Vec<instance::Instance> {
        let base_holders = self.base_holders(organisation).into_iter();
        let mut lenders: Vec<_> = base_holders.filter(|d| *d != self.own).collect();
        let peers = self.peers.iter();
        let claimants = peers.filter(|(_, peer)| peer.claims.contains_key(&organisation));
        let claimants = claimants.map(|(daemon, _)| *daemon);
        let claimants: Vec<_> = claimants.filter(|d| !lenders.contains(d)).collect();
        lenders.extend(claimants);
        // Those of the own data centre first, and not always the same ones.
        let order = |lender: &instance::Instance| {
            let is_local = self.peers.get(lender).is_some_and(|peer| peer.is_local);
            (!is_local, rank::mix(lender.0 ^ self.asks))
        };
        lenders.sort_unstable_by_key(order);
        lenders.truncate(MAX_LENDERS);
        lenders
    }

    /// Takes the messages about loans that are to be sent, with their receivers.
    pub fn take_loans(&mut self) -> Vec<(instance::Instance, loan::Loan)> {
        std::mem::take(&mut self.loans)
    }

    /// Applies a message about a loan.
    pub fn receive_loan(&mut self, now: time::Time, loan: &loan::Loan) {
        if !loan.is_valid() {
            return;
        }
        match *loan {
            loan::Loan::Ask {
                from,
                organisation,
                limit,
                tokens,
            } => self.lend(now, from, organisation, limit, tokens),
            loan::Loan::Grant {
                from,
                number,
                organisation,
                tokens,
            } => {
                let is_new = self.received_grants.entry(from).or_default().record(number);
                if let Some(account) = self.accounts.get_mut(&organisation).filter(|_| is_new) {
                    account.receive_loan(now, tokens);
                }
            }
        }
    }

    fn lend(
        &mut self,
        now: time::Time,
        to: instance::Instance,
        organisation: Organisation,
        limit: Limit,
        wanted: f64,
    ) {
        if !self.accounts.contains_key(&organisation) {
            let limit = self.tolerance.extend(limit);
            self.update_account(now, organisation, limit);
        }
        let account = self.accounts.get_mut(&organisation);
        let tokens = account.map_or(0.0, |account| account.lend(now, wanted));
        if tokens > 0.0 {
            self.grants += 1;
            let grant = loan::Loan::Grant {
                from: self.own,
                number: self.grants,
                organisation,
                tokens,
            };
            self.loans.push((to, grant));
        }
    }
}
