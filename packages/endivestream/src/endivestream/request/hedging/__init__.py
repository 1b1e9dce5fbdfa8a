"""Second attempts that run beside a slow first one."""
