"""Size limits of the replicated tables."""

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
MAX_MODELS = 1_000
MAX_KEYS = 10_000
MAX_WITHDRAWN_KEYS = 10_000
MAX_INSTANCES = 2_000
MAX_TARGETS = 10_000
MAX_OPEN_ORDERS = 2_000
# One for each target and order kind.
MAX_CONFIRMED_ORDERS = 10_000
MAX_SUPERSEDED_ORDERS = 1_000
MAX_ACTIONS_PER_WORKSPACE = 100_000
# A record takes about 0.7 kB of memory.
MAX_ACTIONS = 250_000
MAX_ACTION_BODY_BYTES = 64 * 1024
# Limits the memory that recorded responses of all workspaces take on an instance.
MAX_ACTION_BODIES_BYTES = 48 * 1024 * 1024
ACTION_RETENTION_MS = 24 * 60 * 60 * 1000
# Further attempts of an abandoned action are refused, because the record stores the
# request ids of all attempts.
MAX_ACTION_ATTEMPTS = 32
MAX_OPERATOR_OUTCOMES = 5_000
MAX_PROCESS_OUTCOMES = 20_000
MAX_FEED_CHANGES = 4_096
MAX_CONFIGURATION_HISTORY = 50
MAX_NAME_CHARACTERS = 256
MAX_DIGEST_CHARACTERS = 128
MAX_USAGE_ROWS = 10_000
# A decoded histogram takes 16 kB of memory.
MAX_DECODED_HISTOGRAMS = 1_024
MAX_USAGE_SENDERS = 4_096
MAX_SEQUENCE_GAP = 256
MAX_REPORT_AGE_MINUTES = 15
# Beyond this size, the view omits the histograms of older rows, so that it fits into
# one message.
MAX_VIEW_HISTOGRAM_BYTES = 1024 * 1024
