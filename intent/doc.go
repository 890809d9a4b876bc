package intent
