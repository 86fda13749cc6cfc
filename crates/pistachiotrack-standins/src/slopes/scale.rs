//! The target size of the fleet, one deployment's share of it, and the budgets.

/// Number of VMs of all deployments.
pub(crate) const VMS: f64 = 5_800.0;
/// Number of endpoints of all deployments.
pub(crate) const ENDPOINTS: f64 = 200_000.0;
/// Number of services of all deployments.
pub(crate) const SERVICES: f64 = 4_700.0;
/// Number of routes of all deployments.
pub(crate) const ROUTES: f64 = 210_000.0;
/// Number of customers of all deployments.
pub(crate) const CUSTOMERS: f64 = 460_000.0;
/// Configuration changes per day.
pub(crate) const CHANGES_PER_DAY: f64 = 29_000.0;
/// VMs that fail on a normal day.
pub(crate) const FAILURES_PER_DAY: f64 = 620.0;
/// VMs restarted or replaced per day.
pub(crate) const REPLACEMENTS_PER_DAY: f64 = 23_000.0;
/// VMs of one deployment, as in today's fleet.
pub(crate) const VMS_PER_DEPLOYMENT: f64 = 48.0;
/// Data centres of one deployment, as in today's fleet.
pub(crate) const DATA_CENTRES_PER_DEPLOYMENT: usize = 3;
/// Seconds of a day.
pub(crate) const DAY_S: f64 = 86_400.0;

/// Fraction of a core that a VM may spend on the control plane.
pub(crate) const CORE_BUDGET: f64 = 0.022;
/// Memory that a VM may spend on the control plane.
pub(crate) const MEMORY_BUDGET_BYTES: f64 = 32.0 * 1024.0 * 1024.0;
/// Bytes per second that a VM may spend on the control plane.
pub(crate) const TRAFFIC_BUDGET_BYTES_PER_S: f64 = 2_048.0;
/// Time within which a change must be active on every VM.
pub(crate) const ACTIVATION_BUDGET_S: f64 = 10.0;
/// Reads per second that the platform serves for all deployments.
pub(crate) const PLATFORM_READS_PER_S: f64 = 2_000.0;

/// Size of one deployment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    /// VMs that serve it.
    pub(crate) vms: usize,
    /// Services.
    pub(crate) services: usize,
    /// Endpoints of all services.
    pub(crate) endpoints: usize,
    /// Rules with a route.
    pub(crate) routes: usize,
    /// Customers.
    pub(crate) customers: usize,
}

/// Returns the number of deployments at the target size.
pub(crate) fn deployments() -> f64 {
    (VMS / VMS_PER_DEPLOYMENT).round()
}

/// Returns one deployment's even share of a total.
pub(crate) fn per_deployment(total: f64) -> f64 {
    total / deployments()
}

/// Returns the size of one of many deployments.
pub(crate) fn deployment() -> Size {
    Size {
        vms: VMS_PER_DEPLOYMENT as usize,
        services: per_deployment(SERVICES).round() as usize,
        endpoints: per_deployment(ENDPOINTS).round() as usize,
        routes: per_deployment(ROUTES).round() as usize,
        customers: per_deployment(CUSTOMERS).round() as usize,
    }
}

/// Returns the size of a single deployment that holds the whole target size.
pub(crate) fn single_deployment() -> Size {
    Size {
        vms: VMS as usize,
        services: SERVICES as usize,
        endpoints: ENDPOINTS as usize,
        routes: ROUTES as usize,
        customers: CUSTOMERS as usize,
    }
}
