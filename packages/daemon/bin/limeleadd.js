#!/usr/bin/env node
import { keepSignals } from '../dist/early-signals.js';

keepSignals();
// A static import would load all modules before the first one runs.
const { runLimeleadd } = await import('@limelead/daemon');
runLimeleadd(process.argv);
