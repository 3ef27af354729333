//! Quotas of teams: which team may send requests of which classes, and how much in a window. The broker checks them
//! before the scheduler learns of a request.

use crate::message::{Charge, QuotaDecision, QuotaRequest, Rejection};
use crate::shared_store::client::SharedStoreClient;
use crate::unix_clock::unix_ms;
use reedwalk_scheduler::ClassId;
use reedwalk_shared_store::quota_lease::{ChargeResult, EVEN_SHARE, QuotaLease, STORE_DOWN_SHARE};
use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout_at};

/// How long returning units to the shared store may take; later they are lost to the window.
const RETURN_TIMEOUT: Duration = Duration::from_millis(100);
/// How often leases are checked for unused units.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long a quota's key outlives its window, in milliseconds: the clocks of gateways differ a little.
const KEY_TTL_PAST_WINDOW_MS: u64 = 5_000;
/// Units of a request whose class has no cost in the contract.
const DEFAULT_COST: u64 = 1;

/// One team's contract, as an operator writes it.
#[derive(Clone, Debug)]
pub struct Contract {
    /// The team: the user of a MySQL login, or the `reedwalk-team` of a Flight call.
    pub team: String,
    /// Classes that it may send requests of.
    pub classes: Vec<String>,
    /// Units that it may use in a window, over all gateways.
    pub budget: u64,
    /// The window's length.
    pub window_ms: u64,
    /// Units that a request of a class costs; 1 for classes that are not listed.
    pub cost: HashMap<String, u64>,
}

/// A contract that is not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadContract {
    /// The team of the contract.
    pub team: String,
    /// What is wrong with it.
    pub fault: ContractFault,
}

impl fmt::Display for BadContract {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "contract of {}: {}", self.team, self.fault)
    }
}

impl std::error::Error for BadContract {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.fault)
    }
}

/// Why a contract is not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ContractFault {
    /// The window's length is 0.
    NoWindow,
    /// Another contract has the same team.
    Duplicate,
    /// The settings have no class of this name.
    UnknownClass(String),
    /// A cost is given for this class, which the contract does not cover.
    CostOfOtherClass(String),
}

impl fmt::Display for ContractFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoWindow => write!(f, "its window has no length"),
            Self::Duplicate => write!(f, "there are two"),
            Self::UnknownClass(name) => write!(f, "there is no class '{name}'"),
            Self::CostOfOtherClass(name) => write!(f, "it prices '{name}', which it does not cover"),
        }
    }
}

impl std::error::Error for ContractFault {}

/// The window that counts now.
struct Window {
    number: u64,
    left: Duration,
}

struct Account {
    costs: HashMap<ClassId, u64>,
    budget: u64,
    window_ms: u64,
    lease: Mutex<QuotaLease>,
    /// Held by whoever leases units for all who wait.
    leasing: tokio::sync::Mutex<()>,
}

impl Account {
    fn new(contract: &Contract, costs: HashMap<ClassId, u64>, gateways: u64, share: f64) -> Self {
        Self {
            costs,
            budget: contract.budget,
            window_ms: contract.window_ms,
            lease: Mutex::new(QuotaLease::new(contract.budget, gateways, share)),
            leasing: tokio::sync::Mutex::default(),
        }
    }

    fn lease(&self) -> MutexGuard<'_, QuotaLease> {
        self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn window(&self) -> Window {
        let unix = unix_ms();
        let number = self.lease().advance_to(unix / self.window_ms);
        Window { number, left: Duration::from_millis(self.end_ms(number).saturating_sub(unix)) }
    }

    /// Unix time in milliseconds at which a window ends.
    fn end_ms(&self, window: u64) -> u64 {
        (window + 1).saturating_mul(self.window_ms)
    }
}

/// The quotas of all teams, counted in this process or leased from a shared store.
pub struct QuotaManager {
    by_team: HashMap<Arc<str>, Account>,
    store: Option<Arc<SharedStoreClient>>,
}

impl QuotaManager {
    /// Quotas by these contracts over these classes. Without a shared store each gateway grants its even share.
    ///
    /// # Errors
    /// Names the first contract that makes no sense.
    pub fn new(
        contracts: &[Contract],
        classes: &[String],
        gateways: u32,
        store: Option<Arc<SharedStoreClient>>,
    ) -> Result<Self, BadContract> {
        let share = if store.is_some() { STORE_DOWN_SHARE } else { EVEN_SHARE };
        let mut by_team = HashMap::new();
        for contract in contracts {
            let bad = |fault| BadContract { team: contract.team.clone(), fault };
            if contract.window_ms == 0 {
                return Err(bad(ContractFault::NoWindow));
            }
            let costs = costs(contract, classes).map_err(bad)?;
            let account = Account::new(contract, costs, u64::from(gateways), share);
            if by_team.insert(Arc::from(contract.team.as_str()), account).is_some() {
                return Err(bad(ContractFault::Duplicate));
            }
        }
        Ok(Self { by_team, store })
    }

    /// Whether there is a contract with this team.
    pub fn has_contract(&self, team: &str) -> bool {
        self.by_team.contains_key(team)
    }

    /// What a request of this team and class costs.
    ///
    /// # Errors
    /// Where no contract covers it.
    pub fn quota_request(&self, team: Option<&str>, class: ClassId) -> Result<QuotaRequest, Rejection> {
        let found = team.and_then(|team| self.by_team.get_key_value(team));
        let (team, account) = found.ok_or(Rejection::Contract)?;
        let amount = *account.costs.get(&class).ok_or(Rejection::Contract)?;
        Ok(QuotaRequest { team: team.clone(), amount })
    }

    /// Charges a request: from units that are leased here or, where the shared store is slow or gone, from this
    /// gateway's own share.
    pub async fn charge(self: &Arc<Self>, request: &QuotaRequest) -> QuotaDecision {
        let Some(account) = self.by_team.get(&request.team) else {
            return QuotaDecision::Exhausted(Duration::ZERO);
        };
        let wait = self.store.as_ref().map_or(Duration::ZERO, |store| store.options().wait);
        let deadline = Instant::now() + wait;
        let mut usable = self.store.is_some();
        loop {
            let now = Instant::now();
            let window = account.window();
            let spent = account.lease().charge(request.amount, usable && now < deadline, now.into_std());
            match spent {
                ChargeResult::Granted => {
                    self.lease_ahead(request, account);
                    return QuotaDecision::Admitted(Charge {
                        request: request.clone(),
                        window: window.number,
                    });
                }
                ChargeResult::Denied => return QuotaDecision::Exhausted(window.left),
                ChargeResult::Lease(wanted) => {
                    usable = self.lease(&request.team, account, request.amount, wanted, deadline).await;
                }
            }
        }
    }

    /// Leases units for all who wait, unless another has by the time that it is this one's turn. Returns `false` where
    /// the store can't be asked.
    async fn lease(
        &self,
        team: &str,
        account: &Account,
        amount: u64,
        wanted: u64,
        deadline: Instant,
    ) -> bool {
        let Some(store) = &self.store else { return false };
        let Ok(_turn) = timeout_at(deadline, account.leasing.lock()).await else { return false };
        let window = account.window().number;
        if account.lease().has_available(amount) {
            return true;
        }
        if !store.is_usable(Instant::now(), deadline) {
            return false;
        }
        let expires_ms = account.end_ms(window).saturating_add(KEY_TTL_PAST_WINDOW_MS);
        let key = store.quota_key(team, account.window_ms, window);
        let leased = store.lease_quota(&key, wanted, account.budget, expires_ms, deadline).await;
        let Some(units) = leased else { return false };
        account.lease().add_leased(window, wanted, units, Instant::now().into_std());
        true
    }

    /// Leases units before they are needed, so that requests find them here.
    fn lease_ahead(self: &Arc<Self>, request: &QuotaRequest, account: &Account) {
        let Some(store) = &self.store else { return };
        let Some(wanted) = account.lease().prefetch_amount(Instant::now().into_std()) else { return };
        if account.leasing.try_lock().is_err() {
            return;
        }
        let (quotas, team) = (self.clone(), request.team.clone());
        let deadline = Instant::now() + store.options().wait;
        tokio::spawn(async move {
            if let Some(account) = quotas.by_team.get(&team) {
                // All units that are here may be used before these come: this is as good as a request for them.
                quotas.lease(&team, account, wanted, wanted, deadline).await;
            }
        });
    }

    /// Gives back what was charged for a request that never ran.
    pub fn refund(&self, charge: &Charge) {
        if let Some(account) = self.by_team.get(&charge.request.team) {
            account.lease().refund(charge.window, charge.request.amount);
        }
    }

    /// Returns unused units to the shared store, for as long as the process runs.
    pub async fn run(self: Arc<Self>) {
        let Some(store) = self.store.clone() else { return };
        loop {
            sleep_until(Instant::now() + IDLE_CHECK_INTERVAL).await;
            for (team, account) in &self.by_team {
                let now = Instant::now();
                let window = account.window().number;
                let idle = account.lease().take_idle(now.into_std());
                let deadline = now + RETURN_TIMEOUT;
                if let Some(units) = idle.filter(|_| store.is_usable(now, deadline)) {
                    let key = store.quota_key(team, account.window_ms, window);
                    store.return_quota(&key, units, deadline).await;
                }
            }
        }
    }
}

/// Units that a request of each covered class costs.
fn costs(contract: &Contract, classes: &[String]) -> Result<HashMap<ClassId, u64>, ContractFault> {
    let mut costs = HashMap::new();
    for name in &contract.classes {
        let position = classes.iter().position(|class| class == name);
        let class = position.ok_or_else(|| ContractFault::UnknownClass(name.clone()))?;
        costs.insert(ClassId(class), contract.cost.get(name).copied().unwrap_or(DEFAULT_COST));
    }
    match contract.cost.keys().find(|class| !contract.classes.contains(class)) {
        Some(name) => Err(ContractFault::CostOfOtherClass(name.clone())),
        None => Ok(costs),
    }
}
