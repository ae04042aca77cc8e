"""Bounds of the tables of the replicated state."""

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
MAX_MODELS = 1_000
MAX_KEYS = 10_000
MAX_WITHDRAWN_KEYS = 10_000
MAX_INSTANCES = 2_000
MAX_TARGETS = 10_000
MAX_OPEN_ORDERS = 2_000
# One for each target and kind of order.
MAX_WANTED_ORDERS = 10_000
MAX_SUPERSEDED_ORDERS = 1_000
MAX_ACTIONS_PER_WORKSPACE = 100_000
# Records take about 0.7 kB each in memory.
MAX_ACTIONS = 250_000
MAX_ACTION_BODY_BYTES = 64 * 1024
# Keeps the recorded answers of all workspaces within the memory of an instance.
MAX_ACTION_BODIES_BYTES = 48 * 1024 * 1024
ACTION_RETENTION_MS = 24 * 60 * 60 * 1000
# A repeat of an abandoned action is refused after this many attempts, because the
# record must remember the request ids of all of them.
MAX_ACTION_ATTEMPTS = 32
MAX_OPERATOR_OUTCOMES = 5_000
MAX_PROCESS_OUTCOMES = 20_000
MAX_FEED_CHANGES = 4_096
MAX_CONFIGURATION_HISTORY = 50
MAX_NAME_CHARACTERS = 256
MAX_DIGEST_CHARACTERS = 128
MAX_USAGE_ROWS = 10_000
# A decoded histogram takes 16 kB.
MAX_DECODED_HISTOGRAMS = 1_024
MAX_USAGE_SENDERS = 4_096
MAX_USAGE_GAP = 256
MAX_MINUTE_SKEW = 15
# Histograms of older rows are left out of the view beyond this size, so that it fits
# into one message.
MAX_VIEW_HISTOGRAM_BYTES = 1024 * 1024
