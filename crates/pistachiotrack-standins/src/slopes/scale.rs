//! The size to design for, its share for one deployment, and the budgets.

/// VMs of all deployments.
pub(crate) const VMS: f64 = 5_800.0;
/// Endpoints of all deployments.
pub(crate) const ENDPOINTS: f64 = 200_000.0;
/// Services of all deployments.
pub(crate) const SERVICES: f64 = 4_700.0;
/// Routes of all deployments.
pub(crate) const ROUTES: f64 = 210_000.0;
/// Customers of all deployments.
pub(crate) const CUSTOMERS: f64 = 460_000.0;
/// Changes of configuration a day.
pub(crate) const CHANGES_PER_DAY: f64 = 29_000.0;
/// VMs that fail on an ordinary day.
pub(crate) const FAILURES_PER_DAY: f64 = 620.0;
/// VMs restarted or replaced a day.
pub(crate) const REPLACEMENTS_PER_DAY: f64 = 23_000.0;
/// VMs of one deployment, as today.
pub(crate) const VMS_PER_DEPLOYMENT: f64 = 48.0;
/// Data centres of one deployment, as today.
pub(crate) const DATA_CENTRES_PER_DEPLOYMENT: usize = 3;
/// Seconds of a day.
pub(crate) const DAY_S: f64 = 86_400.0;

/// Share of a core that a VM may spend on control.
pub(crate) const CORE_BUDGET: f64 = 0.022;
/// Memory that a VM may spend on control.
pub(crate) const MEMORY_BUDGET_BYTES: f64 = 32.0 * 1024.0 * 1024.0;
/// Bytes a second that a VM may spend on control.
pub(crate) const TRAFFIC_BUDGET_BYTES_PER_S: f64 = 2_048.0;
/// Time for a change to be in force everywhere.
pub(crate) const IN_FORCE_BUDGET_S: f64 = 10.0;
/// Reads a second that the platform answers in all.
pub(crate) const PLATFORM_READS_PER_S: f64 = 2_000.0;

/// What one deployment holds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    /// VMs that serve it.
    pub(crate) vms: usize,
    /// Services.
    pub(crate) services: usize,
    /// Endpoints of all services.
    pub(crate) endpoints: usize,
    /// Rules that route.
    pub(crate) routes: usize,
    /// Customers.
    pub(crate) customers: usize,
}

/// Returns the number of deployments at the size to design for.
pub(crate) fn deployments() -> f64 {
    (VMS / VMS_PER_DEPLOYMENT).round()
}

/// Returns an even share of a total for one deployment.
pub(crate) fn share(total: f64) -> f64 {
    total / deployments()
}

/// Returns the size of one deployment among many.
pub(crate) fn deployment() -> Size {
    Size {
        vms: VMS_PER_DEPLOYMENT as usize,
        services: share(SERVICES).round() as usize,
        endpoints: share(ENDPOINTS).round() as usize,
        routes: share(ROUTES).round() as usize,
        customers: share(CUSTOMERS).round() as usize,
    }
}

/// Returns the size of one deployment that holds everything.
pub(crate) fn whole() -> Size {
    Size {
        vms: VMS as usize,
        services: SERVICES as usize,
        endpoints: ENDPOINTS as usize,
        routes: ROUTES as usize,
        customers: CUSTOMERS as usize,
    }
}
