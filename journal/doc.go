package journal
