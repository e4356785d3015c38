#!/usr/bin/env node
import { runMeasure } from '@limelead/measure';

await runMeasure(process.argv);
