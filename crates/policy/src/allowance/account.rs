//! This daemon's part of one organisation's allowance.

use std::time::Duration;

use monsooncart_types::time;

use super::{Decision, Limit, MAX_RETRY_DELAY, MAX_WAIT, demand, weight};

/// Levels by which the demand must rise, and fall, before the weight follows.
const RAISING_LEVELS: u8 = 2;
const LOWERING_LEVELS: u8 = 2;

/// Time for which a request may wait for the first part of its organisation at this daemon.
const FIRST_PART_TIME: Duration = Duration::from_secs(1);

/// Wait up to which a request waits for its token rather than for a loan.
const SHORT_WAIT: Duration = Duration::from_millis(30);

/// Time within which the first lenders answer, after which all are asked, and time within which those
/// answer.
const FIRST_LOAN_TIME: Duration = Duration::from_millis(60);
const LOAN_TIME: Duration = Duration::from_millis(160);

/// Time for which nobody is asked after nobody had anything to lend. It doubles each time.
const LOAN_PAUSE: Duration = Duration::from_millis(500);

/// Number of times that the pause doubles.
const MAX_LOAN_DOUBLINGS: u32 = 3;

/// Time after which borrowed tokens expire.
const LOAN_LIFETIME: Duration = Duration::from_secs(2);

/// Time for whose demand tokens are borrowed.
const LOAN_DEMAND: Duration = Duration::from_millis(800);

/// Bounds of the tokens that are asked for at a time.
const LOAN_TOKENS: [f64; 2] = [2.0, 20.0];

/// Share of its surplus that a lender gives.
const LENT_SHARE: f64 = 0.5;

/// Time for whose demand a lender keeps tokens.
const RESERVED_DEMAND: Duration = Duration::from_millis(200);

/// Tokens below which a loan is not worth a message.
const MIN_LOAN: f64 = 0.05;

/// Tokens of other daemons.
#[derive(Clone, Copy, Debug, Default)]
struct Borrowed {
    tokens: f64,
    expires_at: time::Time,
    /// When the lenders were asked last.
    asked_at: Option<time::Time>,
    /// Whether all lenders were asked.
    asked_all: bool,
    /// Whether a lender has granted tokens since.
    is_granted: bool,
    /// Until when nobody is asked.
    paused_until: time::Time,
    /// Number of times in a row that nobody had anything to lend.
    failures: u32,
}

/// A token bucket with a part of an allowance.
#[derive(Clone, Debug)]
pub struct Account {
    limit: Limit,
    demand: demand::Demand,
    /// Weight that was reported last.
    pub announced: weight::Weight,
    /// Weight that is used: all daemons divide by at least this one.
    pub effective: weight::Weight,
    /// Number of the last change of `announced`.
    pub changed_in: u64,
    /// Share of the allowance.
    part: f64,
    /// Whether there is a token even if the part of the burst is less.
    has_token: bool,
    /// Tokens; negative if requests wait for theirs.
    tokens: f64,
    borrowed: Borrowed,
    /// Tokens to ask for, and whether all lenders are to be asked.
    wanted: Option<(f64, bool)>,
    settled_at: time::Time,
    created_at: time::Time,
    /// When the turn of the last refused request comes.
    last_turn: time::Time,
    /// Generation of the weights that `part` was computed from.
    pub generation: u64,
}

impl Account {
    /// Creates an account that has had this part since `since`.
    pub fn new(
        now: time::Time,
        since: time::Time,
        limit: Limit,
        part: f64,
        has_token: bool,
    ) -> Self {
        let mut account = Self {
            limit,
            demand: demand::Demand::new(now),
            announced: weight::Weight::NONE,
            effective: weight::Weight::NONE,
            changed_in: 0,
            part,
            has_token,
            tokens: if has_token { 1.0 } else { 0.0 },
            borrowed: Borrowed::default(),
            wanted: None,
            settled_at: since,
            created_at: now,
            last_turn: now,
            generation: 0,
        };
        account.settle(now);
        account
    }

    /// Requests per second that the part allows.
    fn rate(&self) -> f64 {
        self.limit.rate * self.part
    }

    fn capacity(&self) -> f64 {
        let burst = self.limit.burst * self.part;
        match self.has_token || self.effective > weight::Weight::NONE {
            true => burst.max(1.0),
            false => burst,
        }
    }

    /// Adds the tokens since the last time.
    fn settle(&mut self, now: time::Time) {
        let elapsed = now.since(self.settled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate()).min(self.capacity());
        self.settled_at = now;
    }

    /// Applies another limit.
    pub fn set_limit(&mut self, now: time::Time, limit: Limit) {
        if limit != self.limit {
            self.settle(now);
            self.limit = limit;
            self.settle(now);
        }
    }

    /// Applies another part.
    pub fn set_part(&mut self, now: time::Time, part: f64, has_token: bool) {
        self.settle(now);
        self.part = part;
        self.has_token = has_token;
        self.settle(now);
    }

    /// Share of the allowance.
    pub fn part(&self) -> f64 {
        self.part
    }

    /// The limit that is divided among the daemons.
    pub fn limit(&self) -> Limit {
        self.limit
    }

    /// Decides about a request. Its demand counts once, at the first decision.
    ///
    /// `has_lenders` tells whether there are daemons to borrow from.
    pub fn decide(&mut self, now: time::Time, is_first: bool, has_lenders: bool) -> Decision {
        self.settle(now);
        if is_first {
            self.demand.record(now);
        }
        let rate = self.rate();
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Decision::Admit {
                after: Duration::ZERO,
            };
        }
        if now < self.borrowed.expires_at && self.borrowed.tokens >= 1.0 {
            self.borrowed.tokens -= 1.0;
            return Decision::Admit {
                after: Duration::ZERO,
            };
        }
        // The fraction of a token that is missing, and those that others wait for.
        let wait = (1.0 - self.tokens) / rate.max(f64::MIN_POSITIVE);
        if has_lenders && wait > SHORT_WAIT.as_secs_f64() && self.borrow(now) {
            return Decision::Undecided;
        }
        if wait <= MAX_WAIT.as_secs_f64() {
            self.tokens -= 1.0;
            let after = Duration::from_secs_f64(wait);
            return Decision::Admit { after };
        }
        let is_raising = self.announced > self.effective;
        let is_new = now.since(self.created_at) < FIRST_PART_TIME;
        if rate <= 0.0 && (is_raising || is_new) {
            return Decision::Undecided;
        }
        let interval = 1.0 / rate.max(1.0 / MAX_RETRY_DELAY.as_secs_f64());
        let first = now + Duration::from_secs_f64(wait.min(MAX_RETRY_DELAY.as_secs_f64()));
        let turn = first.max(self.last_turn + Duration::from_secs_f64(interval));
        self.last_turn = turn.min(now + MAX_RETRY_DELAY);
        Decision::Refuse {
            retry_after: self.last_turn.since(now),
        }
    }

    /// Asks the lenders for tokens, unless they had none lately; returns whether a loan may come.
    fn borrow(&mut self, now: time::Time) -> bool {
        if now < self.borrowed.paused_until {
            return false;
        }
        match self.borrowed.asked_at {
            Some(asked_at) if !self.borrowed.is_granted && now.since(asked_at) < LOAN_TIME => {
                if !self.borrowed.asked_all && now.since(asked_at) >= FIRST_LOAN_TIME {
                    self.borrowed.asked_all = true;
                    self.want(now, true);
                }
                return true;
            }
            Some(asked_at) if now.since(asked_at) < FIRST_LOAN_TIME => return true,
            Some(_) if !self.borrowed.is_granted => {
                self.borrowed.asked_at = None;
                let doublings = self.borrowed.failures.min(MAX_LOAN_DOUBLINGS);
                self.borrowed.paused_until = now + LOAN_PAUSE * 2_u32.pow(doublings);
                self.borrowed.failures += 1;
                return false;
            }
            _ => {}
        }
        self.want(now, false);
        self.borrowed.asked_at = Some(now);
        self.borrowed.asked_all = false;
        self.borrowed.is_granted = false;
        true
    }

    fn want(&mut self, now: time::Time, all: bool) {
        let [min, max] = LOAN_TOKENS;
        let demand = self.demand.rate(now) * LOAN_DEMAND.as_secs_f64();
        self.wanted = Some((demand.clamp(min, max), all));
    }

    /// Takes the number of tokens to ask for, and whether all lenders are to be asked.
    pub fn take_wanted(&mut self) -> Option<(f64, bool)> {
        self.wanted.take()
    }

    /// Takes tokens out of the bucket for another daemon; zero if there is no surplus.
    pub fn lend(&mut self, now: time::Time, wanted: f64) -> f64 {
        self.settle(now);
        let reserved = self.demand.rate(now) * RESERVED_DEMAND.as_secs_f64();
        let surplus = (self.tokens - reserved).max(0.0);
        let lent = wanted.clamp(0.0, surplus * LENT_SHARE);
        if lent < MIN_LOAN {
            return 0.0;
        }
        self.tokens -= lent;
        lent
    }

    /// Receives tokens of another daemon.
    pub fn receive_loan(&mut self, now: time::Time, tokens: f64) {
        if now >= self.borrowed.expires_at {
            self.borrowed.tokens = 0.0;
        }
        self.borrowed.tokens += tokens.max(0.0);
        self.borrowed.expires_at = now + LOAN_LIFETIME;
        self.borrowed.is_granted = true;
        self.borrowed.failures = 0;
    }

    /// Gives the token of a request back that has not run.
    pub fn refund(&mut self, now: time::Time) {
        self.settle(now);
        self.tokens = (self.tokens + 1.0).min(self.capacity());
    }

    /// Follows the demand with the weight; returns whether the announced weight changed. Only one
    /// higher weight is announced at a time.
    pub fn follow_demand(&mut self, now: time::Time) -> bool {
        let wanted = weight::Weight::of(self.demand.rate(now));
        let is_lower = self.announced.levels_above(wanted) >= LOWERING_LEVELS
            || (wanted == weight::Weight::NONE && self.announced > wanted);
        if is_lower {
            self.announced = wanted;
            self.effective = self.effective.min(wanted);
            return true;
        }
        let is_higher = wanted.levels_above(self.announced) >= RAISING_LEVELS
            || (self.announced == weight::Weight::NONE && wanted > self.announced);
        if is_higher && self.announced == self.effective {
            self.announced = wanted;
            return true;
        }
        false
    }

    /// Uses the announced weight if all required daemons have echoed it.
    pub fn confirm(&mut self, echoed: u64) -> bool {
        let is_confirmed = self.changed_in <= echoed && self.effective != self.announced;
        if is_confirmed {
            self.effective = self.announced;
        }
        is_confirmed
    }

    /// Whether the account can be created anew without a difference.
    pub fn is_idle(&self) -> bool {
        self.announced == weight::Weight::NONE && self.tokens >= self.capacity()
    }
}
