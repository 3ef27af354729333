//! Contracts: which team may ask for which classes, and how much in a window. Checked by the broker before the
//! decision module sees a request.

use crate::message::{Charge, QuotaDecision, QuotaRequest, Rejection};
use crate::store::link::Link;
use crate::store::unix_ms;
use reedwalk_scheduler::ClassId;
use reedwalk_store::lease::{ALONE, EVEN, Purse, Spend};
use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Units are given back to a shared store by then, or are lost to the window.
const GIVEN_BY: Duration = Duration::from_millis(100);
/// How often it is looked for units that nobody draws on.
const LOOK_EVERY: Duration = Duration::from_millis(250);
/// A key outlives its window by this: clocks of front ends differ a little.
const KEPT_PAST_WINDOW_MS: u64 = 5_000;

/// One team's contract, as an operator writes it.
#[derive(Clone, Debug)]
pub struct Contract {
    /// The team: the user of a MySQL login, or the `reedwalk-team` of a Flight call.
    pub team: String,
    /// Classes that it may ask for.
    pub classes: Vec<String>,
    /// What it may spend in a window, over all front ends.
    pub budget: u64,
    /// The window's length.
    pub window_ms: u64,
    /// What a request of a class costs; 1 where nothing is said.
    pub cost: HashMap<String, u64>,
}

/// A contract that makes no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadContract {
    /// Whose.
    pub team: String,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for BadContract {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "contract of {}: {}", self.team, self.reason)
    }
}

impl std::error::Error for BadContract {}

struct Account {
    costs: HashMap<ClassId, u64>,
    budget: u64,
    window_ms: u64,
    purse: Mutex<Purse>,
    /// Held by whoever leases for all who wait.
    leasing: tokio::sync::Mutex<()>,
}

impl Account {
    fn purse(&self) -> MutexGuard<'_, Purse> {
        self.purse.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The window that counts now, and how long it lasts.
    fn window(&self) -> (u64, Duration) {
        let unix = unix_ms();
        let window = self.purse().window(unix / self.window_ms);
        (window, Duration::from_millis(self.ends_ms(window).saturating_sub(unix)))
    }

    fn ends_ms(&self, window: u64) -> u64 {
        (window + 1).saturating_mul(self.window_ms)
    }
}

/// All contracts, and where they are counted.
pub struct Contracts {
    by_team: HashMap<Arc<str>, Account>,
    link: Option<Arc<Link>>,
}

impl Contracts {
    /// Contracts over these classes. Without a shared store each front end grants its even share of a budget.
    ///
    /// # Errors
    /// Names the first contract that makes no sense.
    pub fn new(
        contracts: &[Contract],
        classes: &[String],
        gateways: u32,
        link: Option<Arc<Link>>,
    ) -> Result<Self, BadContract> {
        let (gateways, share) = (u64::from(gateways), if link.is_some() { ALONE } else { EVEN });
        let mut by_team = HashMap::new();
        for contract in contracts {
            let bad = |reason: String| BadContract { team: contract.team.clone(), reason };
            if contract.window_ms == 0 {
                return Err(bad("its window has no length".into()));
            }
            let place = |name: &String| {
                let place = classes.iter().position(|c| c == name).map(ClassId);
                place.ok_or_else(|| bad(format!("there is no class '{name}'")))
            };
            let mut costs = HashMap::new();
            for name in &contract.classes {
                costs.insert(place(name)?, contract.cost.get(name).copied().unwrap_or(1));
            }
            if let Some(name) = contract.cost.keys().find(|c| !contract.classes.contains(c)) {
                return Err(bad(format!("it prices '{name}', which it does not cover")));
            }
            let account = Account {
                costs,
                budget: contract.budget,
                window_ms: contract.window_ms,
                purse: Mutex::new(Purse::new(contract.budget, gateways, share)),
                leasing: tokio::sync::Mutex::default(),
            };
            if by_team.insert(Arc::from(contract.team.as_str()), account).is_some() {
                return Err(bad("there are two".into()));
            }
        }
        Ok(Self { by_team, link })
    }

    /// Is there a contract with this team?
    pub fn knows(&self, team: &str) -> bool {
        self.by_team.contains_key(team)
    }

    /// What a request of this team and class costs.
    ///
    /// # Errors
    /// Where no contract covers it.
    pub fn cover(&self, team: Option<&str>, class: ClassId) -> Result<QuotaRequest, Rejection> {
        let (team, account) = team.and_then(|t| self.by_team.get_key_value(t)).ok_or(Rejection::Contract)?;
        let amount = *account.costs.get(&class).ok_or(Rejection::Contract)?;
        Ok(QuotaRequest { team: team.clone(), amount })
    }

    /// Spends what is request: out of what is leased here, or, where the shared store is slow or gone, out of this front
    /// end's own part.
    pub async fn spend(self: &Arc<Self>, request: &QuotaRequest) -> QuotaDecision {
        let Some(account) = self.by_team.get(&request.team) else {
            return QuotaDecision::Exhausted(Duration::ZERO);
        };
        let now = Instant::now();
        let by = now + self.link.as_ref().map_or(Duration::ZERO, |l| l.terms().wait);
        let mut usable = self.link.is_some();
        loop {
            let now = Instant::now();
            let (window, left) = account.window();
            let spent = account.purse().spend(request.amount, usable && now < by, now.into_std());
            match spent {
                Spend::Granted => {
                    self.lease_ahead(request, account);
                    return QuotaDecision::Admitted(Charge { request: request.clone(), window });
                }
                Spend::Denied => return QuotaDecision::Exhausted(left),
                Spend::Lease(wanted) => {
                    usable = self.lease(&request.team, account, request.amount, wanted, by).await
                }
            }
        }
    }

    /// Leases for all who wait, unless another has by the time that it is this one's turn. `false` where the store
    /// can't be asked.
    async fn lease(&self, team: &str, account: &Account, amount: u64, wanted: u64, by: Instant) -> bool {
        let (Some(link), Ok(_turn)) = (&self.link, timeout_at(by, account.leasing.lock()).await) else {
            return false;
        };
        let (window, _) = account.window();
        if account.purse().holds(amount) {
            return true;
        }
        if !link.usable(Instant::now(), by) {
            return false;
        }
        let expires = account.ends_ms(window).saturating_add(KEPT_PAST_WINDOW_MS);
        let key = link.budget(team, account.window_ms, window);
        let Some(units) = link.lease(&key, wanted, account.budget, expires, by).await else { return false };
        account.purse().leased(window, wanted, units, Instant::now().into_std());
        true
    }

    /// Leases before there is need, so that requests find units here.
    fn lease_ahead(self: &Arc<Self>, request: &QuotaRequest, account: &Account) {
        let Some(link) = &self.link else { return };
        let ahead = account.purse().ahead(Instant::now().into_std());
        let (Some(wanted), true) = (ahead, account.leasing.try_lock().is_ok()) else { return };
        let (contracts, team, by) = (self.clone(), request.team.clone(), Instant::now() + link.terms().wait);
        tokio::spawn(async move {
            if let Some(account) = contracts.by_team.get(&team) {
                // All that is here may be needed before it comes: this is as good as a request for it.
                contracts.lease(&team, account, wanted, wanted, by).await;
            }
        });
    }

    /// What was paid for a request that never ran.
    pub fn refund(&self, charge: &Charge) {
        if let Some(account) = self.by_team.get(&charge.request.team) {
            account.purse().refund(charge.window, charge.request.amount);
        }
    }

    /// Gives back what nobody draws on, for as long as the program runs.
    pub async fn run(self: Arc<Self>) {
        let Some(link) = self.link.clone() else { return };
        loop {
            sleep_until(Instant::now() + LOOK_EVERY).await;
            for (team, account) in &self.by_team {
                let (now, (window, _)) = (Instant::now(), account.window());
                let idle = account.purse().give_back(now.into_std());
                if let Some(units) = idle.filter(|_| link.usable(now, now + GIVEN_BY)) {
                    let key = link.budget(team, account.window_ms, window);
                    link.give_back(&key, units, now + GIVEN_BY).await;
                }
            }
        }
    }
}
