#!/usr/bin/env node
import { runBareRelay } from '@limelead/measure';

await runBareRelay(process.argv);
