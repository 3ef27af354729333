//! Quotas of teams: which request classes a team may use, and how many units in each time window. The broker checks them
//! before it passes a request to the scheduler.

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

/// Timeout for returning units to the shared store. Units that are not returned in time are lost for the window.
const RETURN_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval at which leases are checked for unused units.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long a quota's key outlives its window, in milliseconds, because the clocks of the gateways differ slightly.
const KEY_TTL_PAST_WINDOW_MS: u64 = 5_000;
/// Cost in units of a request whose class has no cost in the contract.
const DEFAULT_COST: u64 = 1;

/// A team's contract, as configured by the operator.
#[derive(Clone, Debug)]
pub struct Contract {
    /// The team: the user of a MySQL login, or the `reedwalk-team` of a Flight call.
    pub team: String,
    /// The request classes that it may use.
    pub classes: Vec<String>,
    /// Units that it may use in a window, across all gateways.
    pub budget: u64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Cost in units of a request of each class; 1 for classes that are not listed.
    pub cost: HashMap<String, u64>,
}

/// An invalid contract.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidContract {
    /// The team of the contract.
    pub team: String,
    /// Why it is not valid.
    pub error: ContractError,
}

impl fmt::Display for InvalidContract {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "contract of {}: {}", self.team, self.error)
    }
}

impl std::error::Error for InvalidContract {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.error)
    }
}

/// Why a contract is not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ContractError {
    /// The length of the window is 0.
    EmptyWindow,
    /// Another contract names the same team.
    Duplicate,
    /// The settings have no class of this name.
    UnknownClass(String),
    /// The contract sets a cost for this class but does not cover the class.
    CostOfUncoveredClass(String),
}

impl fmt::Display for ContractError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::EmptyWindow => write!(f, "the window must be longer than 0"),
            Self::Duplicate => write!(f, "the team has two contracts"),
            Self::UnknownClass(name) => write!(f, "unknown class '{name}'"),
            Self::CostOfUncoveredClass(name) => {
                write!(f, "a cost is set for class '{name}', which the contract does not cover")
            }
        }
    }
}

impl std::error::Error for ContractError {}

/// The current window.
struct Window {
    number: u64,
    remaining: Duration,
}

/// A team's contract and its lease in this process.
struct Account {
    costs: HashMap<ClassId, u64>,
    budget: u64,
    window_ms: u64,
    lease: Mutex<QuotaLease>,
    /// Held by the task that leases units on behalf of all tasks that wait.
    lease_turn: tokio::sync::Mutex<()>,
}

impl Account {
    fn new(contract: &Contract, costs: HashMap<ClassId, u64>, gateways: u64, share: f64) -> Self {
        Self {
            costs,
            budget: contract.budget,
            window_ms: contract.window_ms,
            lease: Mutex::new(QuotaLease::new(contract.budget, gateways, share)),
            lease_turn: tokio::sync::Mutex::default(),
        }
    }

    fn lease(&self) -> MutexGuard<'_, QuotaLease> {
        self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn window(&self) -> Window {
        let now_ms = unix_ms();
        let number = self.lease().advance_to(now_ms / self.window_ms);
        Window { number, remaining: Duration::from_millis(self.end_ms(number).saturating_sub(now_ms)) }
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
    /// Quotas for these contracts and classes. Without a shared store, each gateway grants an even share of each budget.
    ///
    /// # Errors
    /// The first contract that is not valid.
    pub fn new(
        contracts: &[Contract],
        classes: &[String],
        gateways: u32,
        store: Option<Arc<SharedStoreClient>>,
    ) -> Result<Self, InvalidContract> {
        let share = if store.is_some() { STORE_DOWN_SHARE } else { EVEN_SHARE };
        let mut by_team = HashMap::new();
        for contract in contracts {
            let invalid = |error| InvalidContract { team: contract.team.clone(), error };
            if contract.window_ms == 0 {
                return Err(invalid(ContractError::EmptyWindow));
            }
            let costs = costs_by_class(contract, classes).map_err(invalid)?;
            let account = Account::new(contract, costs, u64::from(gateways), share);
            if by_team.insert(Arc::from(contract.team.as_str()), account).is_some() {
                return Err(invalid(ContractError::Duplicate));
            }
        }
        Ok(Self { by_team, store })
    }

    /// Whether this team has a contract.
    pub fn has_contract(&self, team: &str) -> bool {
        self.by_team.contains_key(team)
    }

    /// The units to charge for a request of this team and class.
    ///
    /// # Errors
    /// No contract covers the team and class.
    pub fn quota_request(&self, team: Option<&str>, class: ClassId) -> Result<QuotaRequest, Rejection> {
        let entry = team.and_then(|team| self.by_team.get_key_value(team));
        let (team, account) = entry.ok_or(Rejection::Contract)?;
        let units = *account.costs.get(&class).ok_or(Rejection::Contract)?;
        Ok(QuotaRequest { team: team.clone(), units })
    }

    /// Charges a request to the units that this gateway has leased or, if the shared store is slow or unreachable, to
    /// this gateway's own share.
    pub async fn charge(self: &Arc<Self>, request: &QuotaRequest) -> QuotaDecision {
        let Some(account) = self.by_team.get(&request.team) else {
            return QuotaDecision::Exhausted(Duration::ZERO);
        };
        let wait = self.store.as_ref().map_or(Duration::ZERO, |store| store.options().wait);
        let deadline = Instant::now() + wait;
        let mut store_usable = self.store.is_some();
        loop {
            let now = Instant::now();
            let window = account.window();
            let result =
                account.lease().charge(request.units, store_usable && now < deadline, now.into_std());
            match result {
                ChargeResult::Granted => {
                    self.lease_ahead(request, account);
                    return QuotaDecision::Admitted(Charge {
                        request: request.clone(),
                        window: window.number,
                    });
                }
                ChargeResult::Denied => return QuotaDecision::Exhausted(window.remaining),
                ChargeResult::Lease(wanted) => {
                    store_usable = self.lease(&request.team, account, request.units, wanted, deadline).await;
                }
            }
        }
    }

    /// Leases units on behalf of all tasks that wait, unless another task has already leased enough when this one gets
    /// its turn. Returns `false` if the store can't be used.
    async fn lease(
        &self,
        team: &str,
        account: &Account,
        amount: u64,
        wanted: u64,
        deadline: Instant,
    ) -> bool {
        let Some(store) = &self.store else { return false };
        let Ok(_turn) = timeout_at(deadline, account.lease_turn.lock()).await else { return false };
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

    /// Leases units in the background before they are needed, so that requests need not wait for the store.
    fn lease_ahead(self: &Arc<Self>, request: &QuotaRequest, account: &Account) {
        let Some(store) = &self.store else { return };
        let Some(wanted) = account.lease().prefetch_amount(Instant::now().into_std()) else { return };
        if account.lease_turn.try_lock().is_err() {
            return;
        }
        let (quotas, team) = (self.clone(), request.team.clone());
        let deadline = Instant::now() + store.options().wait;
        tokio::spawn(async move {
            if let Some(account) = quotas.by_team.get(&team) {
                // The units that are left may be used up before these arrive, so the amount needed is all that is wanted.
                quotas.lease(&team, account, wanted, wanted, deadline).await;
            }
        });
    }

    /// Refunds the charge of a request that never ran.
    pub fn refund(&self, charge: &Charge) {
        if let Some(account) = self.by_team.get(&charge.request.team) {
            account.lease().refund(charge.window, charge.request.units);
        }
    }

    /// Returns unused units to the shared store at intervals, as long as the process runs.
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

/// The cost in units of a request of each class that the contract covers.
fn costs_by_class(contract: &Contract, classes: &[String]) -> Result<HashMap<ClassId, u64>, ContractError> {
    let mut costs = HashMap::new();
    for name in &contract.classes {
        let position = classes.iter().position(|class| class == name);
        let class = position.ok_or_else(|| ContractError::UnknownClass(name.clone()))?;
        costs.insert(ClassId(class), contract.cost.get(name).copied().unwrap_or(DEFAULT_COST));
    }
    match contract.cost.keys().find(|class| !contract.classes.contains(class)) {
        Some(name) => Err(ContractError::CostOfUncoveredClass(name.clone())),
        None => Ok(costs),
    }
}
