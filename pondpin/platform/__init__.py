"""Adapters to the platform's wire formats; they hold no decisions, timers or state."""
