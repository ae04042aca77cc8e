"""Entry process: serves callers."""
