#!/usr/bin/env node
import { runFrontDoorChild } from '@limelead/measure';

await runFrontDoorChild(process.argv[2] ?? '', Number(process.argv[3]));
