//! Budgets of retries and hedges.
