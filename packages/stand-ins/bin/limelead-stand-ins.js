#!/usr/bin/env node
import { runStandIns } from '@limelead/stand-ins';

await runStandIns(process.argv);
